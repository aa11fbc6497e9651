"""Keeping background tasks running, and ending them."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Any

from yuccareach.runtime.logs import Log

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

# A task that has not ended this long after its cancellation is cancelled again.
RECANCEL_INTERVAL_S = 0.5
# A loop that failed is started again after this long.
RESTART_DELAY_S = 0.2


async def keep_running(
    run_loop: Callable[[], Awaitable[None]], write_log: Callable[[Log], None]
) -> None:
    """Run an endless loop, and again after an unexpected error, until cancelled.

    Without its loops, a process goes on to listen but no longer does its work.
    """
    while True:
        try:
            await run_loop()
        except Exception as error:
            fields = {"task": repr(run_loop), "error": repr(error)}
            write_log(Log("task_crashed", fields, logging.ERROR))
        await asyncio.sleep(RESTART_DELAY_S)


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


__all__ = ["cancel_tasks", "keep_running"]
