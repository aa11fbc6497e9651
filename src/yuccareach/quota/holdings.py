"""An instance's part of the limits of backend servers: what it may send.

While control answers, an instance sends what it was granted, within the lifetime of a
grant. One that is cut off, or has just learned of a limit, sends a safe share of its
own instead. Times are those of a
clock that goes on while the machine is suspended, so that an instance that was paused
does not use a grant that has run out.
"""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from yuccareach.quota.limits import GRANT_LIFETIME_MS, compute_rate_per_s

if TYPE_CHECKING:
    from collections.abc import Hashable

# Demand is what was sent and what was missed within this time.
DEMAND_WINDOW_MS = 1_000
# An instance asks for what it is likely to need within this time.
DEMAND_HORIZON_S = 0.6
# One that has had demand within this time keeps what an equal share of the limit gives
# within the horizon in stock, so that its next callers need not wait for control.
STOCK_WINDOW_MS = 10_000
# A grant that expires sooner is returned and asked for again.
MIN_REMAINING_MS = 600
# Part of an equal share of a limit that an instance uses while it is cut off. Control
# may grant the whole limit to the others meanwhile.
CUT_OFF_FRACTION = 0.5


class Grant(NamedTuple):
    """One request that may be sent, until it expires."""

    expires_ms: int


class Holding:
    """What an instance may send to one incarnation of a limited server."""

    def __init__(self, phase: float) -> None:
        # Whether control has answered a report of the limit.
        self.is_known = False
        # Granted requests, in the order of their expiry.
        self.grants: deque[Grant] = deque()
        # Requests of the own share that are not whole yet. Instances start at different
        # phases from 0 to 1, so that they do not all send at the same time.
        self.own_requests = phase
        # Until when the own share has been added, while the instance is cut off.
        self.own_until_ms: int | None = None
        self.last_demand_ms: int | None = None
        self.sent_times_ms: deque[int] = deque()
        # When each request was last not sent here for want of a grant.
        self.missed_ms_by_request: dict[Hashable, int] = {}


class Share(NamedTuple):
    """What an instance's share of a limit depends on."""

    limit_per_s: float
    # Instances that share the limit, as control last said.
    instances: int
    # When the instance sent its last request that control has answered.
    contact_ms: int
    now_ms: int

    @property
    def cut_off_ms(self) -> int:
        """When the last grant that control may have sent has expired."""
        return compute_cut_off_ms(self.contact_ms)

    @property
    def is_cut_off(self) -> bool:
        """Whether the instance sends a share of its own."""
        return self.now_ms >= self.cut_off_ms


def compute_cut_off_ms(contact_ms: int) -> int:
    """Return when an instance is cut off that control has answered last."""
    return contact_ms + GRANT_LIFETIME_MS


def count_available(holding: Holding, share: Share) -> int:
    """Return how many requests may be sent now."""
    if _has_own_share(holding, share):
        _add_own_share(holding, share)
    else:
        _drop_own_share(holding)
    _expire(holding, share.now_ms)
    return len(holding.grants)


def _has_own_share(holding: Holding, share: Share) -> bool:
    """Return whether control has not granted anything, or nothing that still holds."""
    return share.is_cut_off or not holding.is_known


def _add_own_share(holding: Holding, share: Share) -> None:
    """Add the own share of a limit since the last time.

    The first time adds nothing: the instance may have been paused until now. Each of
    its requests expires as a grant does, so that an idle instance saves none.
    """
    rate_per_s = (
        CUT_OFF_FRACTION * compute_rate_per_s(share.limit_per_s) / share.instances
    )
    since_ms = share.now_ms if holding.own_until_ms is None else holding.own_until_ms
    holding.own_until_ms = share.now_ms
    requests = holding.own_requests + rate_per_s * (share.now_ms - since_ms) / 1000
    holding.own_requests = requests % 1
    for number in reversed(range(int(requests))):
        age_ms = int(1000 * (holding.own_requests + number) / rate_per_s)
        if age_ms < GRANT_LIFETIME_MS:
            holding.grants.append(Grant(share.now_ms - age_ms + GRANT_LIFETIME_MS))


def _drop_own_share(holding: Holding) -> None:
    """Drop the requests of the own share once control answers again."""
    if holding.own_until_ms is not None:
        holding.own_until_ms = None
        holding.grants.clear()


def _expire(holding: Holding, now_ms: int) -> None:
    while holding.grants and holding.grants[0].expires_ms <= now_ms:
        holding.grants.popleft()


def take(holding: Holding, share: Share) -> Grant | None:
    """Take one request that is sent now; return None if none may be sent."""
    if not count_available(holding, share):
        return None
    holding.last_demand_ms = share.now_ms
    holding.sent_times_ms.append(share.now_ms)
    return holding.grants.popleft()


def give_back(holding: Holding, grant: Grant) -> None:
    """Give back a request that was taken and has not been sent."""
    if holding.sent_times_ms:
        holding.sent_times_ms.pop()
    holding.grants.appendleft(grant)


def record_miss(holding: Holding, request: Hashable, now_ms: int) -> None:
    """Record that a request would have been sent here if there were a grant."""
    holding.last_demand_ms = now_ms
    holding.missed_ms_by_request[request] = now_ms


def apply_grants(holding: Holding, granted: int, requested_ms: int) -> None:
    """Add what control has granted in answer to a request that was sent at a time."""
    _drop_own_share(holding)
    holding.is_known = True
    expires_ms = requested_ms + GRANT_LIFETIME_MS
    holding.grants.extend(Grant(expires_ms) for _ in range(granted))
    holding.grants = deque(sorted(holding.grants))


def scale(holding: Holding, former_per_s: float | None, limit_per_s: float) -> None:
    """Keep the part of the grants that a lower limit leaves."""
    if former_per_s and limit_per_s < former_per_s:
        kept = int(len(holding.grants) * limit_per_s / former_per_s)
        while len(holding.grants) > kept:
            holding.grants.popleft()


class GrantRequest(NamedTuple):
    """The requests that an instance wants to be granted, or returns unused."""

    wanted: int
    returned: int


def plan_grant_request(holding: Holding, share: Share) -> GrantRequest:
    """Return what to ask control for; what is returned may not be sent any more."""
    count_available(holding, share)
    needed = math.ceil(DEMAND_HORIZON_S * _measure_demand(holding, share.now_ms))
    if _has_own_share(holding, share):
        return GrantRequest(needed, 0)
    needed = max(needed, _compute_stock(holding, share))
    former = holding.grants
    lasting = [
        grant for grant in former if grant.expires_ms - share.now_ms >= MIN_REMAINING_MS
    ]
    holding.grants = deque(lasting[:needed])
    held = len(holding.grants)
    return GrantRequest(needed - held, len(former) - held)


def _compute_stock(holding: Holding, share: Share) -> int:
    """Return the requests that are kept in stock without any demand right now."""
    if (
        holding.last_demand_ms is None
        or share.now_ms - holding.last_demand_ms >= STOCK_WINDOW_MS
    ):
        return 0
    return int(DEMAND_HORIZON_S * share.limit_per_s / share.instances)


def _measure_demand(holding: Holding, now_ms: int) -> float:
    """Return the requests a second that were sent here or missed a grant."""
    since_ms = now_ms - DEMAND_WINDOW_MS
    sent = holding.sent_times_ms
    while sent and sent[0] <= since_ms:
        sent.popleft()
    holding.missed_ms_by_request = {
        request: missed_ms
        for request, missed_ms in holding.missed_ms_by_request.items()
        if missed_ms > since_ms
    }
    requests = len(sent) + len(holding.missed_ms_by_request)
    return requests / (DEMAND_WINDOW_MS / 1000)


__all__ = [
    "Grant",
    "GrantRequest",
    "Holding",
    "Share",
    "apply_grants",
    "compute_cut_off_ms",
    "count_available",
    "give_back",
    "plan_grant_request",
    "record_miss",
    "scale",
    "take",
]
