"""Return times: when refused callers are told to come again, and which have.

Each refusal is given a time at which forecast capacity becomes free, one after another,
so that callers do not all return at once. A caller that returns as told goes before new
ones of its priority. No promise outlives the process that gave it.
"""

from __future__ import annotations

from collections import OrderedDict

MIN_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 6.0
# A caller that returns later than this after the time that it was told is a new one.
MAX_RETURN_DELAY_S = 2.0
# Clocks and timers of callers are not exact, so one may return so much too early.
MAX_EARLY_RETURN_S = 0.1
# Bounds the memory for callers that never return.
MAX_EXPECTED_RETURNS = 2_000


class ReturnSlots:
    """The return times that one entry has given for one service."""

    def __init__(self) -> None:
        self.last_slot_s_by_priority: dict[int, float] = {}
        # When the caller of each refused request was told to return.
        self.due_s_by_fingerprint: OrderedDict[bytes, float] = OrderedDict()

    def plan(
        self,
        priority: int,
        interval_s: float,
        earliest_s: float,
        latest_s: float,
        now_s: float,
    ) -> float:
        """Return a time for a refused request that no earlier one was given.

        interval_s is the time in which capacity for one request becomes free for the
        refused requests of this entry; 0 if unknown. The time is at most latest_s and
        MAX_RETRY_DELAY_S from now, unless earliest_s is later: a caller does not
        return at all if it is told a time after latest_s.
        """
        # More urgent returns take their capacity first.
        taken_until_s = max(
            (
                slot_s
                for other, slot_s in self.last_slot_s_by_priority.items()
                if other <= priority
            ),
            default=now_s,
        )
        slot_s = max(earliest_s, now_s + MIN_RETRY_DELAY_S, taken_until_s + interval_s)
        slot_s = min(slot_s, latest_s, now_s + MAX_RETRY_DELAY_S)
        slot_s = max(earliest_s, now_s + MIN_RETRY_DELAY_S, slot_s)
        self.last_slot_s_by_priority[priority] = slot_s
        return slot_s

    def expect(self, fingerprint: bytes, due_s: float) -> None:
        """Record that the caller of a request was told when to return."""
        self.due_s_by_fingerprint[fingerprint] = due_s
        self.due_s_by_fingerprint.move_to_end(fingerprint)
        while len(self.due_s_by_fingerprint) > MAX_EXPECTED_RETURNS:
            self.due_s_by_fingerprint.popitem(last=False)

    def accept(self, fingerprint: bytes, now_s: float) -> bool:
        """Return whether a request returns as told, and forget that it was expected."""
        due_s = self.due_s_by_fingerprint.pop(fingerprint, None)
        return (
            due_s is not None
            and -MAX_EARLY_RETURN_S <= now_s - due_s <= MAX_RETURN_DELAY_S
        )


__all__ = [
    "MAX_EARLY_RETURN_S",
    "MAX_EXPECTED_RETURNS",
    "MAX_RETRY_DELAY_S",
    "MAX_RETURN_DELAY_S",
    "MIN_RETRY_DELAY_S",
    "ReturnSlots",
]
