"""Reloads a settings file that changes while a process runs."""

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
    """A settings file and the function that applies its content."""

    def __init__(self, path: Path, apply: Callable[[Path], None]) -> None:
        self.path = path
        self.apply = apply
        self.last_stamp = self._read_stamp()

    def _read_stamp(self) -> tuple[int, int, int]:
        """Return attributes of the file that change when its content is replaced."""
        try:
            status = self.path.stat()
        except OSError:
            return (0, 0, 0)
        return (status.st_mtime_ns, status.st_size, status.st_ino)

    def reload(self) -> None:
        """Apply the file's content; an invalid file is logged and changes nothing."""
        self.last_stamp = self._read_stamp()
        try:
            self.apply(self.path)
        except YuccareachError as error:
            _log.error("reload_failed", extra={"reason": str(error)})
        else:
            _log.info("reloaded", extra={"path": str(self.path)})

    async def watch(self) -> None:
        """Reload the file whenever it has changed, without waiting for a SIGHUP."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self._read_stamp() != self.last_stamp:
                self.reload()


__all__ = ["SettingsFile"]
