"""Carrying out the placement, on the control instance that leads."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from yuccareach.control.errors import NotLeader
from yuccareach.control.raft_types import ReadAsked, Role
from yuccareach.placement.moves import NO_LAYERS, LayerRange, Move, Server, coverage
from yuccareach.placement.planner import plan
from yuccareach.runtime.logs import logger
from yuccareach.runtime.reducer import monotonic_ms

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from yuccareach.control.run import ControlProcess
    from yuccareach.gateway.table import ModelProfile, RoutingTable
    from yuccareach.proto import control_pb2 as cpb

PLAN_INTERVAL_S = 0.25
# A fresh fleet is divided once no member has been heard of for the first time for this
# long; a little more than a heartbeat interval.
SETTLED_MS = 1_600
# A range that was ordered counts as held for the time it takes to load, and for this
# long until a heartbeat tells it.
CONFIRM_MS = 3_500
# A server that crashed is back sooner, as a rule.
LASTING_HOLE_MS = 6_000
_log = logger("placement")


class Ordered(NamedTuple):
    """A range that an incarnation was ordered to hold."""

    incarnation: str
    layers: LayerRange
    until_ms: int


class Placement:
    """Plans again and again while this instance leads, and gives the orders."""

    def __init__(
        self,
        process: ControlProcess,
        table: Callable[[], RoutingTable | None],
        send_order: Callable[[str, LayerRange], Awaitable[bool]],
    ) -> None:
        self.process = process
        self.table = table
        self.send_order = send_order
        self.ordered_by_name: dict[str, Ordered] = {}
        self.members_known = 0
        self.settled_ms = 0
        # When every zone that holds layers was last known to hold all of them.
        self.whole_ms = monotonic_ms()

    async def run(self) -> None:
        """Plan for as long as the process lives."""
        while True:
            await asyncio.sleep(PLAN_INTERVAL_S)
            table = self.table()
            leads = self.process.state.role is Role.LEADER
            # Before every member has had time to announce itself, layers seem to lack.
            warm = self.process.members.warm(monotonic_ms())
            if not leads or not warm or table is None:
                self.ordered_by_name.clear()
                self.whole_ms = monotonic_ms()
                continue
            for service in table.service_by_name.values():
                if service.model is not None:
                    await self._place(service.name, service.model)

    async def _place(self, service: str, model: ModelProfile) -> None:
        self._forget_orders()
        servers = self._servers(service, model)
        if not servers or not self._settled(servers):
            return
        divide_anew = self._hole_lasts(servers, model)
        moves = self._within_load_limit(
            plan(servers, model, divide_anew=divide_anew), servers, model
        )
        if not moves:
            return
        try:
            # An instance that was cut off or suspended must not give orders.
            await self.process.ask(ReadAsked)
        except NotLeader:
            return
        await asyncio.gather(*(self._order(move, model) for move in moves))

    def _within_load_limit(
        self, moves: list[Move], servers: list[Server], model: ModelProfile
    ) -> list[Move]:
        """Return the moves that the store of weights can serve at full speed now.

        More would slow all of them down, while layers that are given up are gone at
        once. Before the first request all may start: nothing is given up, and nobody
        waits.
        """
        if not any(server.held.size for server in servers):
            return moves
        return moves[: max(0, model.max_concurrent_loads - len(self.ordered_by_name))]

    def _hole_lasts(self, servers: list[Server], model: ModelProfile) -> bool:
        """Return whether a zone has lacked layers for longer than a restart takes."""
        now = monotonic_ms()
        zones = {server.zone for server in servers if server.held.size}
        whole = all(
            min(coverage([item for item in servers if item.zone == zone], model)) > 0
            for zone in zones
        )
        if whole:
            self.whole_ms = now
        return now - self.whole_ms > LASTING_HOLE_MS

    def _settled(self, servers: list[Server]) -> bool:
        """Return whether a fresh fleet has had time to announce itself."""
        now = monotonic_ms()
        if len(servers) > self.members_known:
            self.settled_ms = now + SETTLED_MS
        self.members_known = len(servers)
        fresh = not any(server.held.size for server in servers)
        return now >= self.settled_ms or not fresh

    def _servers(self, service: str, model: ModelProfile) -> list[Server]:
        """Return who may hold layers, with what they hold or are about to."""
        now = monotonic_ms()
        unreachable = self.process.views.unreachable(now)
        members = [
            heard.member
            for heard in self.process.members.heard_by_name.values()
            if heard.member.service == service
            and heard.member.kind in model.accelerator_by_kind
            and not heard.member.draining
            and heard.member.incarnation not in unreachable
        ]
        return [self._server(member, model, now) for member in members]

    def _forget_orders(self) -> None:
        """Forget orders that were never confirmed, and those to servers that left."""
        now = monotonic_ms()
        known = self.process.members.heard_by_name
        self.ordered_by_name = {
            name: ordered
            for name, ordered in self.ordered_by_name.items()
            if now < ordered.until_ms and name in known
        }

    def _server(self, member: cpb.Member, model: ModelProfile, now: int) -> Server:
        card = model.accelerator_by_kind[member.kind]
        held = LayerRange(member.first_layer, member.end_layer)
        ordered = self.ordered_by_name.get(member.backend_server)
        if ordered is not None:
            confirmed = held == ordered.layers
            if confirmed or ordered.incarnation != member.incarnation:
                del self.ordered_by_name[member.backend_server]
            else:
                held = ordered.layers
        return Server(
            member.backend_server,
            member.incarnation,
            member.availability_zone,
            card.memory_mb,
            card.decode_factor,
            held if held.size else NO_LAYERS,
        )

    async def _order(self, move: Move, model: ModelProfile) -> None:
        known = self.process.members.heard_by_name.get(move.server.name)
        if known is None:
            return
        load_ms = int(1000 * model.load_s * move.layers.size / max(1, model.layers))
        until_ms = monotonic_ms() + 2 * load_ms + CONFIRM_MS
        self.ordered_by_name[move.server.name] = Ordered(
            move.server.incarnation, move.layers, until_ms
        )
        taken = await self.send_order(known.member.address, move.layers)
        _log.info(
            "placement_ordered",
            extra={
                "backend_server": move.server.name,
                "held": f"{move.server.held.first}-{move.server.held.end}",
                "layers": f"{move.layers.first}-{move.layers.end}",
                "members": self.process.members.version,
                "taken": taken,
            },
        )


__all__ = ["Placement"]
