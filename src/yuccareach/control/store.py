"""The log, vote and snapshot of one control instance on its disk.

A log file is a row of frames. Each frame holds the records synced together and is
checked by two CRCs, one over its header and one over its payload. A frame cut short at
the end of the newest file was never acknowledged and is dropped. Any other damage stops
the process.
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
# Enough for a vote and a few records.
WRITABLE_BYTES = 65_536
HEADER_CRC = struct.Struct("<I")
HEADER_BYTES = HEADER.size + HEADER_CRC.size


class Frame(NamedTuple):
    """A whole frame found in a file."""

    payload: bytes
    end: int


class DiskStore:
    """The open files of one data folder."""

    def __init__(self, folder: Path, name: str) -> None:
        self.folder = folder
        self.name = name
        self.log_file: int | None = None
        self.dirty = False

    def load(self) -> StoredState:
        """Read what the folder holds; a new folder gets a new identity."""
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
            hard_state = self._load_vote()
            snapshot = self._load_snapshot()
            records = self._load_log(snapshot.last_index)
            self._open_log(self._log_paths()[-1] if self._log_paths() else None)
        except OSError as error:
            raise DiskFailed(f"{error.filename}: {error.strerror}") from error
        return StoredState(hard_state, snapshot, records)

    def _load_vote(self) -> cpb.HardState:
        path = self.folder / "vote"
        if not path.exists():
            if self._log_paths() or (self.folder / "snapshot").exists():
                raise CorruptLog(
                    f"{path}: missing beside a log; empty the folder to join anew"
                )
            identity = f"{self.name}-{secrets.token_hex(4)}"
            state = cpb.HardState(identity=identity)
            self.save_hard_state(state)
            return state
        return cpb.HardState.FromString(self._read_whole(path))

    def _load_snapshot(self) -> cpb.SnapshotFile:
        path = self.folder / "snapshot"
        if not path.exists():
            return cpb.SnapshotFile()
        return cpb.SnapshotFile.FromString(self._read_whole(path))

    def _read_whole(self, path: Path) -> bytes:
        """Read a file that is one frame and nothing else."""
        data = path.read_bytes()
        frame = _read_frame(data, 0)
        if frame is None or frame.end != len(data):
            raise CorruptLog(
                f"{path}: damaged; empty the folder to join anew, or restore a backup"
            )
        return frame.payload

    def _log_paths(self) -> list[Path]:
        return sorted(self.folder.glob("log-*"))

    def _load_log(self, snapshot_index: int) -> list[cpb.LogRecord]:
        records: list[cpb.LogRecord] = []
        paths = self._log_paths()
        for path in paths:
            for record in self._load_file(path, newest=path == paths[-1]):
                if record.index <= snapshot_index:
                    continue
                del records[record.index - snapshot_index - 1 :]
                if record.index != snapshot_index + len(records) + 1:
                    raise CorruptLog(f"{path}: record {record.index} out of sequence")
                records.append(record)
        return records

    def _load_file(self, path: Path, *, newest: bool) -> list[cpb.LogRecord]:
        data = path.read_bytes()
        records: list[cpb.LogRecord] = []
        offset = 0
        while offset < len(data):
            frame = _read_frame(data, offset)
            if frame is None:
                if not newest or _any_frame_after(data, offset + 1):
                    raise CorruptLog(
                        f"{path}: damaged at byte {offset}; empty the folder to join "
                        "anew, or restore a backup"
                    )
                _cut(path, offset)
                break
            try:
                records += cpb.RecordBatch.FromString(frame.payload).records
            except DecodeError as error:
                raise CorruptLog(f"{path}: unreadable at byte {offset}") from error
            offset = frame.end
        return records

    def _open_log(self, path: Path | None) -> None:
        if self.log_file is not None:
            os.close(self.log_file)
        path = path or self.folder / f"log-{0:020d}"
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
        self.log_file = os.open(path, flags, 0o600)
        _sync_folder(self.folder)

    def append(self, records: list[cpb.LogRecord]) -> None:
        """Write records; they last only after sync."""
        payload = cpb.RecordBatch(records=records).SerializeToString()
        data = memoryview(_frame(payload))
        assert self.log_file is not None
        try:
            while data:
                data = data[os.write(self.log_file, data) :]
        except OSError as error:
            raise DiskFailed(f"{self.folder}: {error.strerror}") from error
        self.dirty = True

    def sync(self) -> None:
        """Make everything written last."""
        if not self.dirty or self.log_file is None:
            return
        try:
            os.fdatasync(self.log_file)
        except OSError as error:
            raise DiskFailed(f"{self.folder}: {error.strerror}") from error
        self.dirty = False

    def save_hard_state(self, state: cpb.HardState) -> None:
        """Replace term and vote, synced."""
        self._replace(self.folder / "vote", state.SerializeToString())

    def save_snapshot(
        self, snapshot: cpb.SnapshotFile, rest: list[cpb.LogRecord]
    ) -> None:
        """Replace the snapshot, then start a log file with the records after it."""
        self.sync()
        self._replace(self.folder / "snapshot", snapshot.SerializeToString())
        old = self._log_paths()
        path = self.folder / f"log-{snapshot.last_index:020d}"
        try:
            self._open_log(path)
            if rest:
                self.append(rest)
                self.sync()
            for stale in old:
                if stale != path:
                    stale.unlink()
        except OSError as error:
            raise DiskFailed(f"{self.folder}: {error.strerror}") from error

    def _replace(self, path: Path, payload: bytes) -> None:
        """Replace a file whole: the old content or the new survives a crash."""
        temporary = path.with_suffix(".new")
        try:
            with temporary.open("wb") as file:
                file.write(_frame(payload))
                file.flush()
                os.fsync(file.fileno())
            temporary.rename(path)
            _sync_folder(self.folder)
        except OSError as error:
            raise DiskFailed(f"{path}: {error.strerror}") from error

    def save_members(self, members: cpb.RaftFrame) -> None:
        """Replace the list of members known here, synced."""
        self._replace(self.folder / "members", members.SerializeToString())

    def load_members(self) -> cpb.RaftFrame:
        """Return the members known before a restart; damage only loses them."""
        path = self.folder / "members"
        if not path.exists():
            return cpb.RaftFrame()
        try:
            return cpb.RaftFrame.FromString(self._read_whole(path))
        except (OSError, CorruptLog, DecodeError):
            return cpb.RaftFrame()

    def check_writable(self) -> None:
        """Write and remove a file; raises DiskFailed where the disk refuses."""
        path = self.folder / "writable"
        try:
            with path.open("wb") as file:
                file.write(bytes(WRITABLE_BYTES))
                file.flush()
                os.fsync(file.fileno())
            path.unlink()
        except OSError as error:
            raise DiskFailed(f"{path}: {error.strerror}") from error

    def close(self) -> None:
        """Close the log file."""
        if self.log_file is not None:
            os.close(self.log_file)
            self.log_file = None


def _frame(payload: bytes) -> bytes:
    header = HEADER.pack(MAGIC, len(payload), zlib.crc32(payload))
    return header + HEADER_CRC.pack(zlib.crc32(header)) + payload


def _read_frame(data: bytes, offset: int) -> Frame | None:
    """Return the frame at an offset, or None if it is not whole and right."""
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


def _any_frame_after(data: bytes, offset: int) -> bool:
    """Return whether a whole frame stands anywhere after an offset."""
    while (offset := data.find(MAGIC, offset)) >= 0:
        if _read_frame(data, offset) is not None:
            return True
        offset += 1
    return False


def _cut(path: Path, size: int) -> None:
    """Drop the unsynced end of a log file."""
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
