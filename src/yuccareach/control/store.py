"""Storage of one control instance's log, vote and snapshot on disk.

A log file is a sequence of frames. Each frame holds the records written together and
has two CRCs, one over its header and one over its payload. An incomplete frame at the
end of the newest file was never acknowledged and is dropped. Any other damage raises
CorruptLog.
"""

from __future__ import annotations

import os
import secrets
import struct
import zlib
from typing import TYPE_CHECKING, NamedTuple

from google.protobuf.message import DecodeError

from yuccareach.control.errors import CorruptLog, DiskFailed
from yuccareach.control.raft_types import StoredState
from yuccareach.proto import control_pb2 as cpb

if TYPE_CHECKING:
    from pathlib import Path

MAGIC = b"YRLG"
HEADER = struct.Struct("<4sII")
# As much as a vote and a few records need.
WRITE_CHECK_BYTES = 65_536
HEADER_CRC = struct.Struct("<I")
HEADER_BYTES = HEADER.size + HEADER_CRC.size


class Frame(NamedTuple):
    """The payload of an intact frame, and the offset of the byte after the frame."""

    payload: bytes
    end: int


class DiskStore:
    """The files of one data folder; the newest log file is open for appending."""

    def __init__(self, folder: Path, name: str) -> None:
        self.folder = folder
        self.name = name
        self.log_descriptor: int | None = None
        self.has_unsynced_writes = False

    def load(self) -> StoredState:
        """Read the stored state; an empty folder gets a new identity.

        Raises CorruptLog on damaged files and DiskFailed on errors of the disk.
        """
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
            hard_state = self._load_hard_state()
            snapshot = self._load_snapshot()
            records = self._load_log(snapshot.last_index)
            self._open_log(self._log_paths()[-1] if self._log_paths() else None)
        except OSError as error:
            raise DiskFailed(f"{error.filename}: {error.strerror}") from error
        return StoredState(hard_state, snapshot, records)

    def _load_hard_state(self) -> cpb.HardState:
        path = self.folder / "vote"
        if not path.exists():
            if self._log_paths() or (self.folder / "snapshot").exists():
                raise CorruptLog(
                    f"{path}: missing although the folder holds a log or snapshot; "
                    "empty the folder to join as a new instance"
                )
            identity = f"{self.name}-{secrets.token_hex(4)}"
            state = cpb.HardState(identity=identity)
            self.save_hard_state(state)
            return state
        return cpb.HardState.FromString(self._read_single_frame(path))

    def _load_snapshot(self) -> cpb.SnapshotFile:
        path = self.folder / "snapshot"
        if not path.exists():
            return cpb.SnapshotFile()
        return cpb.SnapshotFile.FromString(self._read_single_frame(path))

    def _read_single_frame(self, path: Path) -> bytes:
        """Return the payload of a file that consists of exactly one frame."""
        data = path.read_bytes()
        frame = _read_frame(data, 0)
        if frame is None or frame.end != len(data):
            raise CorruptLog(
                f"{path}: damaged; empty the folder to join as a new instance, or "
                "restore a backup"
            )
        return frame.payload

    def _log_paths(self) -> list[Path]:
        return sorted(self.folder.glob("log-*"))

    def _load_log(self, snapshot_index: int) -> list[cpb.LogRecord]:
        records: list[cpb.LogRecord] = []
        paths = self._log_paths()
        for path in paths:
            for record in self._load_log_file(path, newest=path == paths[-1]):
                if record.index <= snapshot_index:
                    continue
                del records[record.index - snapshot_index - 1 :]
                if record.index != snapshot_index + len(records) + 1:
                    raise CorruptLog(f"{path}: record {record.index} out of sequence")
                records.append(record)
        return records

    def _load_log_file(self, path: Path, *, newest: bool) -> list[cpb.LogRecord]:
        data = path.read_bytes()
        records: list[cpb.LogRecord] = []
        offset = 0
        while offset < len(data):
            frame = _read_frame(data, offset)
            if frame is None:
                if not newest or _has_frame_after(data, offset + 1):
                    raise CorruptLog(
                        f"{path}: damaged at byte {offset}; empty the folder to join "
                        "as a new instance, or restore a backup"
                    )
                _truncate(path, offset)
                break
            try:
                records += cpb.RecordBatch.FromString(frame.payload).records
            except DecodeError as error:
                raise CorruptLog(
                    f"{path}: frame at byte {offset} holds no log records"
                ) from error
            offset = frame.end
        return records

    def _open_log(self, path: Path | None) -> None:
        if self.log_descriptor is not None:
            os.close(self.log_descriptor)
        path = path or self.folder / f"log-{0:020d}"
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
        self.log_descriptor = os.open(path, flags, 0o600)
        _sync_folder(self.folder)

    def append(self, records: list[cpb.LogRecord]) -> None:
        """Write records; they survive a crash only after sync."""
        payload = cpb.RecordBatch(records=records).SerializeToString()
        data = memoryview(_encode_frame(payload))
        assert self.log_descriptor is not None
        try:
            while data:
                data = data[os.write(self.log_descriptor, data) :]
        except OSError as error:
            raise DiskFailed(f"{self.folder}: {error.strerror}") from error
        self.has_unsynced_writes = True

    def sync(self) -> None:
        """Sync all written records to the disk."""
        if not self.has_unsynced_writes or self.log_descriptor is None:
            return
        try:
            os.fdatasync(self.log_descriptor)
        except OSError as error:
            raise DiskFailed(f"{self.folder}: {error.strerror}") from error
        self.has_unsynced_writes = False

    def save_hard_state(self, state: cpb.HardState) -> None:
        """Replace the stored term and vote, and sync them."""
        self._replace_file(self.folder / "vote", state.SerializeToString())

    def save_snapshot(
        self, snapshot: cpb.SnapshotFile, later_records: list[cpb.LogRecord]
    ) -> None:
        """Replace the snapshot, then start a log file with the records after it.

        Older log files are removed last.
        """
        self.sync()
        self._replace_file(self.folder / "snapshot", snapshot.SerializeToString())
        old_paths = self._log_paths()
        path = self.folder / f"log-{snapshot.last_index:020d}"
        try:
            self._open_log(path)
            if later_records:
                self.append(later_records)
                self.sync()
            for stale in old_paths:
                if stale != path:
                    stale.unlink()
        except OSError as error:
            raise DiskFailed(f"{self.folder}: {error.strerror}") from error

    def _replace_file(self, path: Path, payload: bytes) -> None:
        """Replace a file atomically: a crash leaves the old content or the new."""
        temporary = path.with_suffix(".new")
        try:
            with temporary.open("wb") as file:
                file.write(_encode_frame(payload))
                file.flush()
                os.fsync(file.fileno())
            temporary.rename(path)
            _sync_folder(self.folder)
        except OSError as error:
            raise DiskFailed(f"{path}: {error.strerror}") from error

    def save_members(self, members: cpb.RaftFrame) -> None:
        """Replace the stored heartbeats of backend servers, and sync them."""
        self._replace_file(self.folder / "members", members.SerializeToString())

    def load_members(self) -> cpb.RaftFrame:
        """Return the stored heartbeats of backend servers.

        A damaged file is treated as empty, since new heartbeats will follow.
        """
        path = self.folder / "members"
        if not path.exists():
            return cpb.RaftFrame()
        try:
            return cpb.RaftFrame.FromString(self._read_single_frame(path))
        except (OSError, CorruptLog, DecodeError):
            return cpb.RaftFrame()

    def check_writable(self) -> None:
        """Write, sync and remove a file; raises DiskFailed if the disk refuses.

        The folder is created if the disk refused that before.
        """
        path = self.folder / "writable"
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
            with path.open("wb") as file:
                file.write(bytes(WRITE_CHECK_BYTES))
                file.flush()
                os.fsync(file.fileno())
            path.unlink()
        except OSError as error:
            raise DiskFailed(f"{path}: {error.strerror}") from error

    def close(self) -> None:
        """Close the log file."""
        if self.log_descriptor is not None:
            os.close(self.log_descriptor)
            self.log_descriptor = None


def _encode_frame(payload: bytes) -> bytes:
    header = HEADER.pack(MAGIC, len(payload), zlib.crc32(payload))
    return header + HEADER_CRC.pack(zlib.crc32(header)) + payload


def _read_frame(data: bytes, offset: int) -> Frame | None:
    """Return the frame at an offset, or None if it is incomplete or damaged."""
    start = offset + HEADER_BYTES
    if start > len(data):
        return None
    header = data[offset : offset + HEADER.size]
    magic, length, crc = HEADER.unpack(header)
    (header_crc,) = HEADER_CRC.unpack_from(data, offset + HEADER.size)
    if magic != MAGIC or zlib.crc32(header) != header_crc:
        return None
    payload = data[start : start + length]
    if len(payload) != length or zlib.crc32(payload) != crc:
        return None
    return Frame(payload, start + length)


def _has_frame_after(data: bytes, offset: int) -> bool:
    """Return whether there is an intact frame at or after an offset."""
    while (offset := data.find(MAGIC, offset)) >= 0:
        if _read_frame(data, offset) is not None:
            return True
        offset += 1
    return False


def _truncate(path: Path, size: int) -> None:
    """Truncate a log file to a size, to drop its incomplete last frame."""
    with path.open("r+b") as file:
        file.truncate(size)
        os.fsync(file.fileno())


def _sync_folder(folder: Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


__all__ = ["DiskStore"]
