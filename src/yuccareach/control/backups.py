"""Reading of the backup from which a control plane is restored."""

from __future__ import annotations

from typing import TYPE_CHECKING

from google.protobuf.message import DecodeError

from yuccareach.control.errors import CorruptLog
from yuccareach.control.state_machine import load_state_machine

if TYPE_CHECKING:
    from pathlib import Path


def read_backup(path: Path | None) -> bytes:
    """Return a backup's content, or empty bytes if no path is given.

    Raises CorruptLog if the file cannot be read or is not a backup.
    """
    if path is None:
        return b""
    try:
        data = path.read_bytes()
        load_state_machine(data)
    except OSError as error:
        raise CorruptLog(f"{path}: {error.strerror}") from error
    except DecodeError as error:
        raise CorruptLog(f"{path}: not a backup of the control state") from error
    return data


__all__ = ["read_backup"]
