"""Keeping this process's view up to date by asking the control leader."""

from __future__ import annotations

import asyncio
import zlib
from collections import deque
from typing import TYPE_CHECKING

import grpc

from yuccareach.errors import YuccareachError
from yuccareach.gateway.backends import Announced
from yuccareach.gateway.state import MEMBERS_TIMEOUT_S, boot_time_s
from yuccareach.proto import control_pb2 as cpb
from yuccareach.proto.control_pb2_grpc import ControlStub

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from yuccareach.gateway.state import Gateway
    from yuccareach.gateway.table import RoutingTable

# Longer than the leader holds a request without news.
POLL_TIMEOUT_S = 1.2
RETRY_S = 0.1
# Between two polls, so that changes in quick succession come together. Every gateway
# polls the one leader, whose processor time this bounds.
PAUSE_S = 0.2
# A leader that began lately may not have heard every member yet.
RESYNC_S = 6.0


class ViewPoller:
    """Asks one control instance after another until one leads, then that one."""

    def __init__(
        self,
        gateway: Gateway,
        addresses: Iterable[str],
        decode: Callable[[bytes], RoutingTable],
    ) -> None:
        self.gateway = gateway
        self.decode = decode
        self.seeds = list(addresses)
        self.order: deque[str] = deque(self.seeds)
        self.leader = ""
        # Redirections since an instance last led or could not be asked.
        self.redirections = 0
        self.source = ""
        self.members_version = 0
        self.resync_s: float | None = None
        self.channel_by_address: dict[str, grpc.aio.Channel] = {}

    def replace_seeds(self, addresses: Iterable[str]) -> None:
        """Take other addresses to start from."""
        self.seeds = list(addresses)
        self._reorder([])

    def _reorder(self, known: Iterable[str]) -> None:
        addresses = list(dict.fromkeys((*known, *self.seeds)))
        if set(addresses) != set(self.order):
            self.order = deque(addresses)

    async def run(self) -> None:
        """Poll for as long as the process lives."""
        while True:
            target = self.leader or self.order[0]
            asked_s = boot_time_s()
            try:
                view = await self._stub(target).Poll(
                    self._request(), timeout=POLL_TIMEOUT_S
                )
            except grpc.RpcError as error:
                await self._move_on(target, error)
                continue
            if view.not_leader:
                await self._redirected(target, view)
                continue
            self.redirections = 0
            self._reorder(view.control_addresses)
            if self.leader != target:
                self.leader = target
                self.gateway.log("control_followed", leader=target)
            self._take(view, asked_s)
            await asyncio.sleep(PAUSE_S)

    def _stub(self, address: str) -> ControlStub:
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

    def _request(self) -> cpb.ViewRequest:
        gateway = self.gateway
        now_s = gateway.now()
        if self.resync_s is not None and now_s > self.resync_s:
            self.members_version = 0
            self.resync_s = None
        return cpb.ViewRequest(
            instance=gateway.settings.instance,
            availability_zone=gateway.settings.zone,
            document_version=gateway.table.version if gateway.table else 0,
            source=self.source,
            members_version=self.members_version,
            unreachable=gateway.fleet.unreachable(now_s),
            uses=[
                cpb.ServerUse(
                    backend_server=name, tokens=backend.tokens, first=backend.first
                )
                for name, backend in gateway.fleet.backend_by_name.items()
                if backend.tokens
            ],
        )

    async def _move_on(self, target: str, error: grpc.RpcError) -> None:
        """Try elsewhere; a silent connection is not used again."""
        if self.leader == target:
            self.gateway.log("control_lost", leader=target, reason=_code(error))
        self.leader = ""
        self.redirections = 0
        channel = self.channel_by_address.pop(target, None)
        if channel is not None:
            await channel.close()
        if self.order[0] == target:
            self.order.rotate(-1)
        await asyncio.sleep(RETRY_S)

    async def _redirected(self, target: str, view: cpb.View) -> None:
        """Ask the leader that is named, or the next one where none is.

        During an election instances may name each other, so that only the first
        redirection in a row is followed at once.
        """
        self._reorder(view.control_addresses)
        self.leader = ""
        if view.leader_address and view.leader_address != target:
            self.leader = view.leader_address
            self.redirections += 1
            if self.redirections == 1:
                return
        else:
            self.order.rotate(-1)
        await asyncio.sleep(RETRY_S)

    def _take(self, view: cpb.View, asked_s: float) -> None:
        """Take a confirmed view; what it holds was true after it was asked for."""
        gateway = self.gateway
        if view.document.version > (gateway.table.version if gateway.table else 0):
            self._take_document(view.document)
        if view.source != self.source:
            self.source = view.source
            self.resync_s = gateway.now() + RESYNC_S
        self.members_version = view.members_version
        announced = [announced_from(member) for member in view.members]
        gateway.fleet.update(announced, view.departed)
        if view.members_snapshot:
            gateway.fleet.keep_only({item.name for item in announced})
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
        gateway.fleet.take_uses(
            {use.backend_server: (use.tokens, use.first) for use in view.uses}
        )
        gateway.entry_count = max(1, view.entries)
        if not gateway.has_lease and gateway.table is not None:
            gateway.log("lease_gained", table=gateway.table.version)
        if not gateway.first_view_received.is_set() and gateway.table is not None:
            gateway.awaiting_members_until_s = gateway.now() + MEMBERS_TIMEOUT_S
            gateway.first_view_received.set()
        gateway.lease_until_s = asked_s + gateway.settings.lease_s

    def _take_document(self, document: cpb.RoutingDocument) -> None:
        """Put a document in force; one that cannot be read is left out."""
        try:
            table = self.decode(zlib.decompress(document.content))
        except (YuccareachError, zlib.error) as error:
            self.gateway.log(
                "document_unreadable", version=document.version, reason=str(error)
            )
            return
        self.gateway.table = table
        self.gateway.log("document_in_force", version=table.version)

    async def close(self) -> None:
        """Close all channels."""
        for channel in self.channel_by_address.values():
            await channel.close()


def announced_from(member: cpb.Member) -> Announced:
    """Return a member as the gateway keeps it."""
    return Announced(
        member.backend_server,
        member.incarnation,
        member.address,
        member.availability_zone,
        member.service,
        member.kind,
        member.first_layer,
        member.end_layer,
        member.draining,
    )


def _code(error: grpc.RpcError) -> str:
    code = error.code() if hasattr(error, "code") else None
    return code.name if code is not None else type(error).__name__


__all__ = ["ViewPoller", "announced_from"]
