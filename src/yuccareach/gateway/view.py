"""Keeping this process's view up to date by polling the control leader."""

from __future__ import annotations

import asyncio
import contextlib
import zlib
from collections import Counter, deque
from typing import TYPE_CHECKING

import grpc

from yuccareach.control.document_deltas import apply_delta
from yuccareach.control.errors import ControlUnavailable
from yuccareach.control.waiting import WaitingKey, build_messages, read_messages
from yuccareach.errors import YuccareachError
from yuccareach.gateway import server_limits
from yuccareach.gateway.backends import Announcement
from yuccareach.gateway.losses import merge_view, resolve_pending_losses
from yuccareach.gateway.probes import probe_backends
from yuccareach.gateway.state import MEMBERS_TIMEOUT_S, get_boot_time_s
from yuccareach.overload.headroom import WaitingElsewhere
from yuccareach.proto import control_pb2 as cpb
from yuccareach.proto.control_pb2_grpc import ControlStub
from yuccareach.runtime.addresses import parse_host_port
from yuccareach.runtime.logs import RepeatFilter
from yuccareach.runtime.rpc import get_error_code

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from yuccareach.gateway.state import Gateway
    from yuccareach.gateway.table import RoutingTable

# Longer than the leader holds a poll while there is nothing new.
POLL_TIMEOUT_S = 1.2
# Delay after a failed poll, or after a redirect that is not followed at once.
RETRY_DELAY_S = 0.1
# Delay before the next poll, so that one view carries several changes that follow each
# other quickly. The delay also bounds the leader's processor time, since every gateway
# polls the leader.
POLL_DELAY_S = 0.2
# A new leader may not have received a heartbeat of every member yet, so all members are
# requested again this long after a change of leader.
RESYNC_DELAY_S = 6.0
# While no leader is found, an instance's unchanged answer is logged at this interval.
SEARCH_LOG_INTERVAL_S = 5.0
MAX_KNOWN_ADDRESSES = 32
MAX_LOGGED_CHARACTERS = 200


class ViewPoller:
    """Polls the control leader for views.

    While the leader is unknown, polls one control instance after another until one of
    them leads or names the leader.
    """

    def __init__(
        self,
        gateway: Gateway,
        addresses: Iterable[str],
        decode_table: Callable[[bytes], RoutingTable],
    ) -> None:
        self.gateway = gateway
        self.decode_table = decode_table
        # Control addresses that were configured.
        self.seeds = list(addresses)
        # Control addresses that control has named.
        self.known_addresses: list[str] = []
        # Both kinds, in the order in which they are tried.
        self.candidates: deque[str] = deque(self.seeds)
        # Address of the leader, or of the instance named as leader; "" if unknown.
        self.leader = ""
        # Redirects since an instance last answered as leader or could not be reached.
        self.consecutive_redirects = 0
        # Identifies the run of the control process that numbers members_version.
        self.source = ""
        self.members_version = 0
        # What this source has sent of the use of servers and of its membership.
        self.uses_version = 0
        self.membership_index = 0
        self.suspects_version = 0
        # The content of the document in force; None asks for the whole document.
        self.document_content: bytes | None = None
        # When all members are requested again, or None.
        self.resync_at_s: float | None = None
        self.channel_by_address: dict[str, grpc.aio.Channel] = {}
        self.search_log_filter = RepeatFilter(SEARCH_LOG_INTERVAL_S)

    def replace_seeds(self, addresses: Iterable[str]) -> None:
        """Replace the control addresses that were configured."""
        previous, self.seeds = self.seeds, list(addresses)
        if self.seeds != previous:
            self.gateway.log(
                "seeds_replaced",
                previous=",".join(previous),
                seeds=",".join(self.seeds),
            )
        self.membership_index = 0
        self._update_candidates()

    def _update_candidates(self) -> None:
        addresses = list(dict.fromkeys((*self.known_addresses, *self.seeds)))
        if set(addresses) != set(self.candidates):
            self.candidates = deque(addresses)

    def _replace_known(self, addresses: Iterable[str]) -> None:
        """Take over the control instances that the leader names."""
        self.known_addresses = list(addresses)
        self._update_candidates()

    def _add_known(self, addresses: Iterable[str]) -> None:
        """Add what an instance that does not lead names, which may be outdated.

        One that has lost its state names none.
        """
        known = dict.fromkeys((*addresses, *self.known_addresses))
        self.known_addresses = list(known)[:MAX_KNOWN_ADDRESSES]
        self._update_candidates()

    async def run(self) -> None:
        """Poll until the task is cancelled."""
        while True:
            target = self.leader or self.candidates[0]
            poll_started_s = get_boot_time_s()
            try:
                view = await self._poll(target)
            except grpc.RpcError as error:
                await self._handle_poll_error(target, error)
                continue
            if view is None:
                continue
            if view.not_leader:
                await self._handle_redirect(target, view)
                continue
            self.consecutive_redirects = 0
            # An unchanged list is left out.
            if view.control_addresses:
                self._replace_known(view.control_addresses)
            self.membership_index = view.membership_index
            if self.leader != target:
                self.leader = target
                self.gateway.log("control_followed", leader=target)
            self.search_log_filter.clear()
            self._apply_view(view, poll_started_s)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(POLL_DELAY_S):
                    await self.gateway.suspect_found.wait()

    async def _poll(self, target: str) -> cpb.View | None:
        """Return a view, or None if this process has something to report before.

        The leader holds a poll for longer than a report of a lost server should take.
        """
        suspect_found = self.gateway.suspect_found
        suspect_found.clear()
        poll = asyncio.ensure_future(
            self._get_stub(target).Poll(self._build_request(), timeout=POLL_TIMEOUT_S)
        )
        found = asyncio.ensure_future(suspect_found.wait())
        try:
            await asyncio.wait((poll, found), return_when=asyncio.FIRST_COMPLETED)
            return poll.result() if poll.done() else None
        finally:
            found.cancel()
            poll.cancel()

    def _get_stub(self, address: str) -> ControlStub:
        channel = self.channel_by_address.get(address)
        if channel is None:
            channel = self.channel_by_address[address] = grpc.aio.insecure_channel(
                address,
                options=(
                    ("grpc.initial_reconnect_backoff_ms", 100),
                    ("grpc.max_reconnect_backoff_ms", 300),
                    ("grpc.use_local_subchannel_pool", 1),
                ),
            )
        return ControlStub(channel)

    async def submit(self, command: cpb.Command) -> None:
        """Let the leader commit a command.

        Raises ControlUnavailable if the leader is unknown or does not confirm it.
        """
        if not self.leader:
            raise ControlUnavailable("the leader is unknown", False)
        try:
            reply = await self._get_stub(self.leader).Submit(
                cpb.SubmitRequest(command=command), timeout=POLL_TIMEOUT_S
            )
        except grpc.RpcError as error:
            raise ControlUnavailable(get_error_code(error), True) from error
        except asyncio.CancelledError as error:
            # gRPC raises it also where the poller has closed the channel.
            task = asyncio.current_task()
            if task is not None and task.cancelling():
                raise
            raise ControlUnavailable("the channel was closed", True) from error
        if reply.not_leader:
            raise ControlUnavailable("the instance does not lead", False)

    def _build_request(self) -> cpb.ViewRequest:
        gateway = self.gateway
        now_s = gateway.now()
        if self.resync_at_s is not None and now_s > self.resync_at_s:
            self.members_version = 0
            self.resync_at_s = None
        return cpb.ViewRequest(
            instance=gateway.settings.instance,
            availability_zone=gateway.settings.zone,
            document_version=(
                gateway.table.version
                if gateway.table is not None and self.document_content is not None
                else 0
            ),
            takes_document_deltas=True,
            source=self.source,
            members_version=self.members_version,
            uses_version=self.uses_version,
            membership_index=self.membership_index,
            loss_changes=gateway.loss_changes,
            limits=server_limits.build_reports(gateway),
            limit_changes=gateway.server_limits.changes,
            limits_term=gateway.server_limits.term,
            unreachable=gateway.fleet.list_unreachable_incarnations(now_s),
            suspects=[
                backend.announcement.incarnation
                for backend in gateway.fleet.find_unconnectable()
            ],
            suspects_version=self.suspects_version,
            uses=[
                cpb.ServerUse(
                    backend_server=name,
                    tokens=backend.reserved_tokens,
                    first=backend.first_stage_streams,
                )
                for name, backend in gateway.fleet.backend_by_name.items()
                if backend.reserved_tokens
            ],
            waiting=build_messages(
                Counter(
                    {
                        WaitingKey(service, priority): tokens
                        for service, queue in gateway.queue_by_service.items()
                        for priority, tokens in queue.count_waiting_tokens().items()
                    }
                )
            ),
        )

    async def _handle_poll_error(self, target: str, error: grpc.RpcError) -> None:
        """Try the next instance.

        The channel is closed, since its connection may hang without an error. After a
        redirect, the instance that gave it is outdated too.
        """
        is_next_due = self.candidates[0] == target or self.consecutive_redirects > 0
        if self.leader == target:
            self.gateway.log(
                "control_lost", leader=target, reason=get_error_code(error)
            )
        self._log_search(target, get_error_code(error))
        self.leader = ""
        self.consecutive_redirects = 0
        channel = self.channel_by_address.pop(target, None)
        if channel is not None:
            await channel.close()
        if is_next_due:
            self.candidates.rotate(-1)
        await asyncio.sleep(RETRY_DELAY_S)

    async def _handle_redirect(self, target: str, view: cpb.View) -> None:
        """Poll the leader that the view names, or the next instance if it names none.

        During an election, two instances may name each other as the leader. Only the
        first redirect in a row is therefore followed without a delay.
        """
        self._log_search(
            target,
            f"redirect to {view.leader_address or 'none'}, "
            f"addresses {','.join(view.control_addresses) or 'none'}",
        )
        self._add_known(view.control_addresses)
        self.leader = ""
        if view.leader_address and view.leader_address != target:
            self.leader = view.leader_address
            self.consecutive_redirects += 1
            if self.consecutive_redirects == 1:
                return
        elif self.candidates[0] == target:
            self.candidates.rotate(-1)
        await asyncio.sleep(RETRY_DELAY_S)

    def _log_search(self, target: str, outcome: str) -> None:
        """Log what an instance answered while the leader is searched for."""
        if self.search_log_filter.admit(target, outcome, get_boot_time_s()):
            self.gateway.log(
                "control_search",
                target=target,
                outcome=outcome,
                candidates=",".join(self.candidates),
            )

    def _apply_view(self, view: cpb.View, poll_started_s: float) -> None:
        """Apply a view from the leader.

        The view was current at some time after poll_started_s, so that the lease counts
        from there.
        """
        gateway = self.gateway
        self._apply_document(view)
        if view.source != self.source:
            self.source = view.source
            self.resync_at_s = gateway.now() + RESYNC_DELAY_S
        self.members_version = view.members_version
        announced = self._decode_members(view)
        gateway.fleet.update(announced, view.departed)
        if view.members_snapshot:
            gateway.fleet.remove_all_except({item.name for item in announced})
        self.suspects_version = view.suspects_version
        if suspects := gateway.fleet.find_connectable(set(view.suspects)):
            names = ",".join(backend.name for backend in suspects)
            gateway.log("suspects_reported", backend_servers=names)
            gateway.start_background_task(probe_backends(gateway, suspects))
        merge_view(gateway, view)
        resolve_pending_losses(gateway)
        for item in announced:
            gateway.log(
                "member",
                backend_server=item.name,
                address=item.address,
                layers=f"{item.first_layer}-{item.end_layer}",
                draining=item.draining,
                version=view.members_version,
            )
        for name in view.departed:
            gateway.log("member_departed", backend_server=name)
        gateway.fleet.update_remote_usage(
            {use.backend_server: (use.tokens, use.first) for use in view.uses},
            are_changes=view.uses_are_changes,
        )
        self.uses_version = view.uses_version
        self._apply_waiting(view)
        gateway.update_entry_count(view.entries)
        server_limits.apply_view(gateway, view, int(poll_started_s * 1000))
        gateway.grant_capacity()
        if not gateway.has_lease and gateway.table is not None:
            gateway.log("lease_gained", table=gateway.table.version)
        if not gateway.first_view_received.is_set() and gateway.table is not None:
            gateway.awaiting_members_until_s = gateway.now() + MEMBERS_TIMEOUT_S
            gateway.first_view_received.set()
        gateway.lease_until_s = poll_started_s + gateway.settings.lease_s

    def _apply_waiting(self, view: cpb.View) -> None:
        """Note what waits at the other gateways, by service and priority.

        A service that the view leaves out has nothing that waits elsewhere.
        """
        gateway = self.gateway
        tokens_by_service: dict[str, dict[int, int]] = {}
        for key, tokens in read_messages(view.waiting).items():
            tokens_by_service.setdefault(key.service, {})[key.priority] = tokens
        for service in tokens_by_service.keys() | gateway.queue_by_service.keys():
            gateway.get_queue(service).demand.elsewhere = WaitingElsewhere(
                tokens_by_service.get(service, {}), gateway.now()
            )

    def _decode_members(self, view: cpb.View) -> list[Announcement]:
        """Return the members whose address can be used; the others are logged."""
        announced = []
        for member in view.members:
            try:
                parse_host_port(member.address)
            except ValueError as error:
                self.gateway.log(
                    "member_ignored",
                    backend_server=member.backend_server[:MAX_LOGGED_CHARACTERS],
                    reason=str(error),
                )
            else:
                announced.append(decode_member(member))
        return announced

    def _apply_document(self, view: cpb.View) -> None:
        """Put a newer routing document in force, or log why it cannot be decoded."""
        version = view.document.version or view.document_delta.version
        if version <= (self.gateway.table.version if self.gateway.table else 0):
            return
        try:
            content = self._read_content(view)
            table = self.decode_table(content)
        except (YuccareachError, zlib.error) as error:
            self.document_content = None
            self.gateway.log("document_unreadable", version=version, reason=str(error))
            return
        self.document_content = content
        self.gateway.table = table
        self.gateway.log("document_in_force", version=table.version)

    def _read_content(self, view: cpb.View) -> bytes:
        """Return the content of a view's document, not compressed."""
        if view.document.version:
            return zlib.decompress(view.document.content)
        return apply_delta(self.document_content or b"", view.document_delta)

    async def close(self) -> None:
        """Close all channels."""
        for channel in self.channel_by_address.values():
            await channel.close()


def decode_member(member: cpb.Member) -> Announcement:
    """Convert a member from its wire format."""
    return Announcement(
        member.backend_server,
        member.incarnation,
        member.address,
        member.availability_zone,
        member.service,
        member.kind,
        member.first_layer,
        member.end_layer,
        member.draining,
        member.started_ms,
    )


__all__ = ["ViewPoller", "decode_member"]
