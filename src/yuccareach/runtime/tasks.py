"""Ending background tasks."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable

# A task that has not ended this long after its cancellation is cancelled again.
RECANCEL_INTERVAL_S = 0.5


async def cancel_tasks(tasks: Iterable[asyncio.Task[Any]]) -> None:
    """Cancel tasks and wait until all of them have ended.

    A task that awaits a gRPC call may get the call's error in place of its cancellation
    and go on, so it is cancelled again until it ends.
    """
    pending = {task for task in tasks if not task.done()}
    while pending:
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=RECANCEL_INTERVAL_S)


__all__ = ["cancel_tasks"]
