"""Many instances that share the limit of one server, in simulated time.

Control and the instances exchange messages that take time and may be lost. An instance
sends every request of its callers to the server if it may, and elsewhere otherwise.
"""

from __future__ import annotations

import random
from typing import NamedTuple

from yuccareach.health.servers import StatedLimit, merge_limits
from yuccareach.quota import allocation, holdings
from yuccareach.quota.allocation import AllocationTable, LimitNotice, LimitReport
from yuccareach.quota.holdings import Holding, Share

STEP_MS = 10
POLL_HOLD_MS = 400
POLL_DELAY_MS = 200
POLL_TIMEOUT_MS = 1_200
MAX_MESSAGE_MS = 30
# The server answers so long after a request was sent.
ANSWER_MS = 50
INCARNATION = "s@1"


class Poll(NamedTuple):
    """A request for a view, and when it was sent."""

    sent_ms: int
    reports: list[LimitReport]
    arrives_ms: int


class Instance:
    """One instance, with the rate of its callers' requests."""

    def __init__(self, name: str, rate_per_s: float, phase: float) -> None:
        self.name = name
        self.rate_per_s = rate_per_s
        self.holding = Holding(phase)
        self.limit: StatedLimit | None = None
        self.contact_ms = 0
        self.poll: Poll | None = None
        self.reply: tuple[int, int, list[LimitNotice]] | None = None
        self.next_poll_ms = 0
        self.is_cut_off = False
        # Neither acts nor receives until then.
        self.paused_until_ms = 0


class Simulation:
    """A server whose limit is a function of time, and the instances that use it."""

    def __init__(self, seed: int, rates_per_s: list[float], limit_per_s: float) -> None:
        self.random = random.Random(seed)
        self.now_ms = 0
        self.limit_per_s: float | None = limit_per_s
        self.instances = [
            Instance(f"i{number}", rate_per_s, self.random.random())
            for number, rate_per_s in enumerate(rates_per_s)
        ]
        self.table = AllocationTable()
        self.is_control_down = False
        self.sent_times_ms: list[int] = []
        # Requests of callers, sent to the server or elsewhere.
        self.offered_count = 0

    def run(self, duration_ms: int) -> None:
        """Let time pass."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += STEP_MS
            for instance in self.random.sample(self.instances, len(self.instances)):
                if self.now_ms >= instance.paused_until_ms:
                    self._step(instance)

    def replace_leader(self) -> None:
        """Let another control instance lead, which knows nothing yet."""
        self.table = AllocationTable()

    def build_share(self, instance: Instance) -> Share:
        limit = instance.limit
        per_s = limit.per_s if limit and limit.per_s is not None else 0.0
        return Share(per_s, len(self.instances), instance.contact_ms, self.now_ms)

    def _step(self, instance: Instance) -> None:
        if self.random.random() < instance.rate_per_s * STEP_MS / 1000:
            self._send(instance)
        self._exchange(instance)

    def _send(self, instance: Instance) -> None:
        """Send a request to the server, or elsewhere if it may not be sent there."""
        self.offered_count += 1
        limit = instance.limit
        if limit is not None and limit.per_s is not None:
            share = self.build_share(instance)
            if holdings.take(instance.holding, share) is None:
                request = self.random.random()
                holdings.record_miss(instance.holding, request, self.now_ms)
                return
        self.sent_times_ms.append(self.now_ms)
        stated = StatedLimit(self.limit_per_s, self.now_ms - ANSWER_MS, self.now_ms)
        self._record_limit(instance, stated)

    def _exchange(self, instance: Instance) -> None:
        """Poll control, as a gateway does."""
        is_lost = instance.is_cut_off or self.is_control_down
        if instance.reply is not None and self.now_ms >= instance.reply[0]:
            if not is_lost:
                self._apply_reply(instance, instance.reply)
            instance.reply = None
            instance.next_poll_ms = self.now_ms + POLL_DELAY_MS
        elif instance.poll is not None:
            poll = instance.poll
            if not is_lost and self.now_ms >= poll.arrives_ms:
                self._answer(instance, poll)
            elif self.now_ms >= poll.sent_ms + POLL_TIMEOUT_MS:
                instance.poll = None
        elif instance.reply is None and self.now_ms >= instance.next_poll_ms:
            reports = self._build_reports(instance)
            delay_ms = self.random.randrange(MAX_MESSAGE_MS)
            instance.poll = Poll(self.now_ms, reports, self.now_ms + delay_ms)

    def _build_reports(self, instance: Instance) -> list[LimitReport]:
        limit = instance.limit
        if limit is None:
            return []
        demand = holdings.plan_grant_request(
            instance.holding, self.build_share(instance)
        )
        age_ms = self.now_ms - limit.read_ms
        return [LimitReport(INCARNATION, limit.per_s, age_ms, *demand)]

    def _answer(self, instance: Instance, poll: Poll) -> None:
        """Let control answer once it can grant something, or at the latest."""
        name, now_ms = instance.name, self.now_ms
        if now_ms < poll.arrives_ms + STEP_MS:
            allocation.record_reports(self.table, name, poll.reports, now_ms)
        delay_ms = allocation.find_grant_delay_ms(self.table, poll.reports, now_ms)
        if delay_ms > 0 and now_ms < poll.arrives_ms + POLL_HOLD_MS:
            return
        notices = allocation.build_notices(self.table, name, poll.reports, 0, now_ms)
        arrives_ms = now_ms + self.random.randrange(MAX_MESSAGE_MS)
        instance.poll = None
        instance.reply = (arrives_ms, poll.sent_ms, notices)

    def _apply_reply(
        self, instance: Instance, reply: tuple[int, int, list[LimitNotice]]
    ) -> None:
        _, sent_ms, notices = reply
        instance.contact_ms = sent_ms
        for notice in notices:
            read_ms = sent_ms - notice.age_ms
            stated = StatedLimit(notice.limit_per_s, read_ms, read_ms)
            self._record_limit(instance, stated)
            holdings.apply_grants(instance.holding, notice.granted, sent_ms)

    def _record_limit(self, instance: Instance, stated: StatedLimit) -> None:
        known = instance.limit
        instance.limit = merge_limits(known, stated)
        per_s = instance.limit.per_s if instance.limit else None
        if known is not None and per_s is not None:
            holdings.scale(instance.holding, known.per_s, per_s)


__all__ = ["Instance", "Simulation"]
