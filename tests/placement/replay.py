"""Replay of departures and arrivals of servers against the planner, with load times."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, NamedTuple

from tests.placement.test_pipelines import count_servable_requests
from yuccareach.placement.assignments import NO_LAYERS, count_servers_by_layer
from yuccareach.placement.loads import select_loads
from yuccareach.placement.planner import plan_assignments
from yuccareach.placement.run import NEW_SERVER_MS

if TYPE_CHECKING:
    from collections.abc import Sequence

    from yuccareach.gateway.table import ModelProfile
    from yuccareach.placement.assignments import LayerRange, Server

# Steps of the control loop of placement, which plans each 0.25 s.
STEPS_PER_S = 4
# A server that is lost silently is a member for this long.
CONTACT_S = 3.0
NEW_SERVER_S = NEW_SERVER_MS / 1000


class Arrival(NamedTuple):
    """A server that announces itself, without layers."""

    second: float
    server: Server


class Drain(NamedTuple):
    """A server that takes no new streams from now on, and ends later."""

    second: float
    name: str


class Loss(NamedTuple):
    """A server that ends silently: members lists it for CONTACT_S longer."""

    second: float
    name: str


Event = Arrival | Drain | Loss


class OrderedLoad(NamedTuple):
    """A load that the planner ordered; the server gives up what it held."""

    second: float
    server: Server
    layers: LayerRange


class Sample(NamedTuple):
    """What a zone could serve at one time, by loaded servers that take new streams."""

    second: float
    zone: str
    min_holders: int
    servable_requests: float


class Replay:
    """Servers of a service, their loads, and what happens to them by second."""

    def __init__(
        self, servers: Sequence[Server], model: ModelProfile, events: Sequence[Event]
    ) -> None:
        self.model = model
        self.events = sorted(events, key=lambda event: event.second)
        # As announced, with the layers that have been loaded.
        self.server_by_name = {server.name: server for server in servers}
        # Ordered layers and the second at which they are loaded.
        self.load_by_name: dict[str, tuple[LayerRange, float]] = {}
        # Servers that were lost silently, and until when members lists them.
        self.listed_until_by_name: dict[str, float] = {}
        # Servers that count as new, and until when.
        self.new_until_by_name: dict[str, float] = {}
        # Servers for which the last plan was empty.
        self.idle_servers: list[Server] = []
        # Layers that a move left without a loaded server in the zone of its server.
        self.emptied_layers: list[tuple[str, int]] = []
        self.loads: list[OrderedLoad] = []
        self.samples: list[Sample] = []
        self.zones = sorted({server.zone for server in servers})

    def run(self, seconds: float) -> None:
        """Play events, loads and plans, and sample each zone after each step."""
        for step in range(int(seconds * STEPS_PER_S)):
            now = step / STEPS_PER_S
            self._finish_loads(now)
            self._apply_events(now)
            self._plan(now)
            self.samples += [self._sample(now, zone) for zone in self.zones]

    def list_totals(self) -> list[float]:
        """Return for each step how many requests all zones together could serve."""
        return [
            sum(sample.servable_requests for sample in group)
            for _, group in itertools.groupby(self.samples, lambda item: item.second)
        ]

    def compute_lost_seconds(self) -> float:
        """Return the capacity lost over the play, in seconds of all at the start."""
        totals = self.list_totals()
        return sum(1 - total / totals[0] for total in totals) / STEPS_PER_S

    def list_zone(self, zone: str) -> list[Server]:
        """Return the servers of a zone that take new streams."""
        return [
            server
            for server in self.server_by_name.values()
            if server.zone == zone and server.name not in self.listed_until_by_name
        ]

    def _apply_events(self, now: float) -> None:
        while self.events and self.events[0].second <= now:
            event = self.events.pop(0)
            if isinstance(event, Arrival):
                self.server_by_name[event.server.name] = event.server
                self.new_until_by_name[event.server.name] = now + NEW_SERVER_S
            elif isinstance(event, Loss):
                self.listed_until_by_name[event.name] = now + CONTACT_S
            else:
                self._remove(event.name)
        for name, until in list(self.listed_until_by_name.items()):
            if until <= now:
                del self.listed_until_by_name[name]
                self._remove(name)

    def _remove(self, name: str) -> None:
        del self.server_by_name[name]
        self.load_by_name.pop(name, None)

    def _finish_loads(self, now: float) -> None:
        for name, (layers, done_s) in list(self.load_by_name.items()):
            if done_s <= now:
                del self.load_by_name[name]
                server = self.server_by_name[name]
                self.server_by_name[name] = server._replace(layers=layers)

    def _plan(self, now: float) -> None:
        servers = [
            (
                server._replace(
                    layers=self.load_by_name[server.name][0], is_loading=True
                )
                if server.name in self.load_by_name
                else server._replace(
                    is_new=self.new_until_by_name.get(server.name, 0.0) > now
                )
            )
            for server in self.server_by_name.values()
        ]
        if servers == self.idle_servers:
            return
        planned = plan_assignments(servers, self.model)
        for server, layers in select_loads(
            planned, servers, self.model, len(self.load_by_name)
        ):
            load_s = self.model.load_s * layers.size / self.model.layers
            self.loads.append(OrderedLoad(now, server, layers))
            self.load_by_name[server.name] = (layers, now + load_s)
            self._give_up_layers(server)
        self.idle_servers = servers if not planned else []

    def _give_up_layers(self, server: Server) -> None:
        """Make the layers of a server unavailable, which begins to load others."""
        self.server_by_name[server.name] = server._replace(layers=NO_LAYERS)
        counts = count_servers_by_layer(self.list_zone(server.zone), self.model)
        self.emptied_layers += [
            (server.zone, layer)
            for layer in range(server.layers.first, server.layers.end)
            if not counts[layer]
        ]

    def _sample(self, now: float, zone: str) -> Sample:
        servers = self.list_zone(zone)
        counts = count_servers_by_layer(servers, self.model)
        return Sample(now, zone, min(counts), count_servable_requests(servers))


__all__ = ["Arrival", "Drain", "Loss", "OrderedLoad", "Replay", "Sample"]
