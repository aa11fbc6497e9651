"""Settings files that change while a process runs."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from yuccareach.errors import YuccareachError
from yuccareach.runtime.logs import logger

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

CHECK_INTERVAL_S = 1.0
_log = logger("settings")


class SettingsFile:
    """A settings file, and what takes its content."""

    def __init__(self, path: Path, take: Callable[[Path], None]) -> None:
        self.path = path
        self.take = take
        self.seen = self._stamp()

    def _stamp(self) -> tuple[int, int, int]:
        """Return what changes with the file's content."""
        try:
            status = self.path.stat()
        except OSError:
            return (0, 0, 0)
        return (status.st_mtime_ns, status.st_size, status.st_ino)

    def reload(self) -> None:
        """Take the file's content; a bad file changes nothing."""
        self.seen = self._stamp()
        try:
            self.take(self.path)
        except YuccareachError as error:
            _log.error("reload_failed", extra={"reason": str(error)})
        else:
            _log.info("reloaded", extra={"path": str(self.path)})

    async def watch(self) -> None:
        """Reload the file whenever it has changed without a signal."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self._stamp() != self.seen:
                self.reload()


__all__ = ["SettingsFile"]
