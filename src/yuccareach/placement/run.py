"""The control loop of placement, active on the control instance that leads."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from yuccareach.control.errors import RequestRefusedError
from yuccareach.control.raft_types import ReadRequested, Role
from yuccareach.placement.assignments import (
    NO_LAYERS,
    Assignment,
    LayerRange,
    Server,
    count_servers_by_layer,
)
from yuccareach.placement.loads import (
    ZoneState,
    find_load_reason,
    measure_zone_states,
    select_loads,
)
from yuccareach.placement.planner import divide_fleet, plan_assignments
from yuccareach.runtime.logs import logger
from yuccareach.runtime.reducer import monotonic_ms

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from yuccareach.control.run import ControlProcess
    from yuccareach.gateway.table import ModelProfile, RoutingTable
    from yuccareach.placement.loads import LoadReason
    from yuccareach.proto import control_pb2 as cpb

PLAN_INTERVAL_S = 0.25
# A fleet without layers is planned once no new backend server has announced itself for
# this long, which is a little more than a heartbeat interval.
SETTLING_DELAY_MS = 1_600
# A server without layers counts as new for this long after it was first seen: the one
# that it replaces may begin to drain some seconds later. With 1.6 s, replacements whose
# predecessors drained 2 s later cost three times the capacity.
NEW_SERVER_MS = 3_000
# A range that a server was ordered to load counts as loaded for twice its expected load
# time plus this time, within which a heartbeat has to report it.
CONFIRMATION_TIMEOUT_MS = 3_500
# A zone that has lacked layers for longer than this is repartitioned. A server that
# crashed has usually returned sooner.
GAP_TIMEOUT_MS = 6_000
_log = logger("placement")


class PendingOrder(NamedTuple):
    """A range that an incarnation was ordered to load and has not yet reported."""

    incarnation: str
    layers: LayerRange
    expires_at_ms: int


class PlanInputs(NamedTuple):
    """What a plan depends on."""

    servers: list[Server]
    model: ModelProfile
    repartition: bool


class PlacementController:
    """Plans the layers of all services in a loop, and orders servers to load them.

    Only the control instance that leads plans and sends orders.
    """

    def __init__(
        self,
        process: ControlProcess,
        get_table: Callable[[], RoutingTable | None],
        send_order: Callable[[str, LayerRange], Awaitable[bool]],
    ) -> None:
        self.process = process
        self.get_table = get_table
        self.send_order = send_order
        self.pending_order_by_name: dict[str, PendingOrder] = {}
        # When each incarnation that has not left was first seen by this instance.
        self.first_seen_ms_by_incarnation: dict[str, int] = {}
        # By service, the inputs of the last plan if nothing was to be done. A plan of
        # the same inputs is not made again.
        self.idle_inputs_by_service: dict[str, PlanInputs] = {}
        # The zones of each service as they were last logged.
        self.zone_states_by_service: dict[str, dict[str, ZoneState]] = {}
        self.known_server_count = 0
        self.settled_at_ms = 0
        # When every zone that holds layers was last known to hold all of them.
        self.last_complete_ms = monotonic_ms()

    async def run(self) -> None:
        """Plan at a fixed interval until cancelled."""
        while True:
            await asyncio.sleep(PLAN_INTERVAL_S)
            table = self.get_table()
            is_leader = self.process.state.role is Role.LEADER
            # Until every member has had time to announce itself, layers that a server
            # holds may seem to be missing.
            has_warmed_up = self.process.members.is_warmed_up(monotonic_ms())
            if not is_leader or not has_warmed_up or table is None:
                self.pending_order_by_name.clear()
                self.last_complete_ms = monotonic_ms()
                continue
            for service in table.service_by_name.values():
                if service.model is not None:
                    await self._place_service(service.name, service.model)

    async def _place_service(self, service: str, model: ModelProfile) -> None:
        self._expire_orders()
        self._forget_departed()
        servers = self._list_servers(service, model)
        if not servers or not self._is_settled(servers):
            return
        repartition = self._has_lasting_gap(servers, model)
        inputs = PlanInputs(servers, model, repartition)
        if inputs == self.idle_inputs_by_service.get(service):
            return
        self._log_zone_states(service, servers, model)
        if not self._count_free_loads(servers, model):
            return
        planned = await _plan(servers, model, repartition=repartition)
        if not planned:
            self.idle_inputs_by_service[service] = inputs
            return
        self.idle_inputs_by_service.pop(service, None)
        assignments = self._limit_loads(planned, servers, model)
        if not assignments:
            return
        try:
            # A quorum has to confirm that this instance still leads: one that was
            # isolated or suspended must not send orders.
            await self.process.dispatch_and_wait(ReadRequested)
        except RequestRefusedError:
            return
        await asyncio.gather(
            *(
                self._send_load_order(
                    assignment, model, find_load_reason(assignment, servers, model)
                )
                for assignment in assignments
            )
        )

    def _log_zone_states(
        self, service: str, servers: list[Server], model: ModelProfile
    ) -> None:
        """Log each zone whose missing layers or single holders have changed."""
        states = measure_zone_states(servers, model)
        logged = self.zone_states_by_service.get(service, {})
        for zone, state in states.items():
            if state != logged.get(zone):
                _log.info(
                    "placement_zone_changed",
                    extra={
                        "service": service,
                        "availability_zone": zone,
                        "missing_layers": state.missing_layers,
                        "single_holder_layers": state.single_holder_layers,
                        "loading": sum(
                            server.is_loading
                            for server in servers
                            if server.zone == zone
                        ),
                    },
                )
        self.zone_states_by_service[service] = states

    def _limit_loads(
        self, assignments: list[Assignment], servers: list[Server], model: ModelProfile
    ) -> list[Assignment]:
        """Return the most urgent assignments that the store serves at full speed.

        Pending orders count as loads. More loads at the same time would slow down all
        of them, while the layers that a server gives up are unavailable at once. A
        fleet without layers may load everything at the same time: no layers are given
        up, and no requests wait.
        """
        if not any(server.layers.size for server in servers):
            return assignments
        return select_loads(
            assignments, servers, model, len(self.pending_order_by_name)
        )

    def _count_free_loads(self, servers: list[Server], model: ModelProfile) -> int:
        """Return how many loads may begin, which is every load in an unloaded fleet."""
        if not any(server.layers.size for server in servers):
            return len(servers)
        return max(0, model.max_concurrent_loads - len(self.pending_order_by_name))

    def _has_lasting_gap(self, servers: list[Server], model: ModelProfile) -> bool:
        """Return whether a zone has lacked layers for longer than a restart takes.

        The call also records the time at which all zones were complete.
        """
        now = monotonic_ms()
        zones = {server.zone for server in servers if server.layers.size}
        is_complete = all(
            min(
                count_servers_by_layer(
                    [item for item in servers if item.zone == zone], model
                )
            )
            > 0
            for zone in zones
        )
        if is_complete:
            self.last_complete_ms = now
        return now - self.last_complete_ms > GAP_TIMEOUT_MS

    def _is_settled(self, servers: list[Server]) -> bool:
        """Return whether no new server has appeared for long enough to plan the fleet.

        A fleet that holds layers need not wait.
        """
        now = monotonic_ms()
        if len(servers) > self.known_server_count:
            self.settled_at_ms = now + SETTLING_DELAY_MS
        self.known_server_count = len(servers)
        is_unloaded = not any(server.layers.size for server in servers)
        return now >= self.settled_at_ms or not is_unloaded

    def _list_servers(self, service: str, model: ModelProfile) -> list[Server]:
        """Return the servers that may hold layers, with loaded or ordered ranges."""
        now = monotonic_ms()
        unreachable = self.process.entry_reports.find_unreachable(now)
        members = [
            record.member
            for record in self.process.members.record_by_name.values()
            if record.member.service == service
            and record.member.kind in model.accelerator_by_kind
            and not record.member.draining
            and record.member.incarnation not in unreachable
        ]
        return [self._build_server(member, model, now) for member in members]

    def _expire_orders(self) -> None:
        """Remove orders that were not confirmed in time or whose servers have left."""
        now = monotonic_ms()
        members = self.process.members.record_by_name
        self.pending_order_by_name = {
            name: order
            for name, order in self.pending_order_by_name.items()
            if now < order.expires_at_ms and name in members
        }

    def _forget_departed(self) -> None:
        """Remove the records of incarnations that are no longer members."""
        present = {
            record.member.incarnation
            for record in self.process.members.record_by_name.values()
        }
        self.first_seen_ms_by_incarnation = {
            incarnation: first_seen_ms
            for incarnation, first_seen_ms in self.first_seen_ms_by_incarnation.items()
            if incarnation in present
        }

    def _build_server(
        self, member: cpb.Member, model: ModelProfile, now: int
    ) -> Server:
        accelerator = model.accelerator_by_kind[member.kind]
        first_seen_ms = self.first_seen_ms_by_incarnation.setdefault(
            member.incarnation, now
        )
        # A member may announce layers that the model does not have.
        layers = LayerRange(member.first_layer, min(member.end_layer, model.layers))
        order = self.pending_order_by_name.get(member.backend_server)
        if order is not None:
            is_confirmed = layers == order.layers
            if is_confirmed or order.incarnation != member.incarnation:
                del self.pending_order_by_name[member.backend_server]
            else:
                layers = order.layers
        return Server(
            member.backend_server,
            member.incarnation,
            member.availability_zone,
            accelerator.memory_mb,
            accelerator.decode_factor,
            layers if layers.size > 0 else NO_LAYERS,
            is_loading=member.backend_server in self.pending_order_by_name,
            is_new=layers.size <= 0 and now - first_seen_ms < NEW_SERVER_MS,
        )

    async def _send_load_order(
        self, assignment: Assignment, model: ModelProfile, reason: LoadReason
    ) -> None:
        record = self.process.members.record_by_name.get(assignment.server.name)
        if record is None:
            return
        load_ms = int(
            1000 * model.load_s * assignment.layers.size / max(1, model.layers)
        )
        expires_at_ms = monotonic_ms() + 2 * load_ms + CONFIRMATION_TIMEOUT_MS
        self.pending_order_by_name[assignment.server.name] = PendingOrder(
            assignment.server.incarnation, assignment.layers, expires_at_ms
        )
        is_accepted = await self.send_order(record.member.address, assignment.layers)
        _log.info(
            "placement_ordered",
            extra={
                "backend_server": assignment.server.name,
                "held": f"{assignment.server.layers.first}-"
                f"{assignment.server.layers.end}",
                "layers": f"{assignment.layers.first}-{assignment.layers.end}",
                "reason": reason.value,
                "expected_ms": load_ms,
                "members": self.process.members.version,
                "taken": is_accepted,
            },
        )


async def _plan(
    servers: list[Server], model: ModelProfile, *, repartition: bool
) -> list[Assignment]:
    """Plan a fleet; a large one without layers in parts, between which others run."""
    if any(server.layers.size for server in servers):
        return plan_assignments(servers, model, repartition=repartition)
    assignments = []
    for part in divide_fleet(servers, model):
        assignments += plan_assignments(part, model)
        await asyncio.sleep(0)
    return assignments


__all__ = ["NEW_SERVER_MS", "PendingOrder", "PlacementController"]
