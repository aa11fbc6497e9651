"""Tests of the files that hold one control instance's log, vote and snapshot."""

from __future__ import annotations

import errno
import os
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from yuccareach.control.errors import CorruptLog, DiskFailed
from yuccareach.control.store import DiskStore
from yuccareach.proto import control_pb2 as cpb


def record(index: int, term: int = 1) -> cpb.LogRecord:
    """Return a log record with a settings change."""
    change = cpb.SettingsChange(change_id=f"c{index}", document=b"x" * 50)
    return cpb.LogRecord(index=index, term=term, command=cpb.Command(settings=change))


class DiskStoreTests(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name) / "data"
        self.store = self.open()

    def open(self) -> DiskStore:
        """Open the folder as a restarted process would, and keep what it loaded."""
        store = DiskStore(self.folder, "c1")
        self.stored = store.load()
        self.addCleanup(store.close)
        return store

    def write(self, *indices: int) -> None:
        for index in indices:
            self.store.append([record(index)])
            self.store.sync()

    def newest_log_path(self) -> Path:
        return sorted(self.folder.glob("log-*"))[-1]

    def indices(self) -> list[int]:
        return [item.index for item in self.stored.records]

    def test_folder_that_a_full_disk_refused_was_never_created(self) -> None:
        store = DiskStore(self.folder.parent / "refused", "c1")
        self.addCleanup(store.close)
        full = OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        with mock.patch("os.mkdir", side_effect=full), self.assertRaises(DiskFailed):
            store.load()
        store.check_writable()
        self.assertTrue(store.load().hard_state.identity)

    def test_records_and_vote_survive_a_restart(self) -> None:
        self.write(1, 2, 3)
        identity = self.stored.hard_state.identity
        vote = cpb.HardState(identity=identity, term=7, voted_for="x")
        self.store.save_hard_state(vote)
        self.open()
        self.assertEqual(self.indices(), [1, 2, 3])
        self.assertEqual(self.stored.hard_state, vote)

    def test_lower_index_replaces_the_records_after_it(self) -> None:
        self.write(1, 2, 3)
        self.store.append([record(2, term=5)])
        self.store.sync()
        self.open()
        terms = [(item.index, item.term) for item in self.stored.records]
        self.assertEqual(terms, [(1, 1), (2, 5)])

    def test_incomplete_last_frame_of_every_length_is_dropped(self) -> None:
        self.write(1, 2)
        two_frames = self.newest_log_path().read_bytes()
        self.write(3)
        three_frames = self.newest_log_path().read_bytes()
        for size in range(len(two_frames), len(three_frames)):
            with self.subTest(size=size):
                self.newest_log_path().write_bytes(three_frames[:size])
                store = self.open()
                self.assertEqual(self.indices(), [1, 2])
                store.append([record(3)])
                store.sync()
                self.open()
                self.assertEqual(self.indices(), [1, 2, 3])

    def test_every_flipped_byte_before_the_last_frame_is_refused(self) -> None:
        self.write(1)
        first_frame_bytes = len(self.newest_log_path().read_bytes())
        self.write(2)
        data = self.newest_log_path().read_bytes()
        for position in range(first_frame_bytes):
            with self.subTest(position=position):
                damaged = bytearray(data)
                damaged[position] ^= 0x40
                self.newest_log_path().write_bytes(damaged)
                with self.assertRaises(CorruptLog):
                    self.open()

    def test_log_without_a_vote_is_refused(self) -> None:
        self.write(1)
        (self.folder / "vote").unlink()
        with self.assertRaises(CorruptLog):
            self.open()

    def test_snapshot_replaces_the_log_before_it(self) -> None:
        self.write(1, 2, 3, 4)
        snapshot = cpb.SnapshotFile(last_index=3, last_term=1, state=b"state")
        self.store.save_snapshot(snapshot, [record(4)])
        self.write(5)
        self.open()
        self.assertEqual(self.stored.snapshot, snapshot)
        self.assertEqual(self.indices(), [4, 5])
        self.assertEqual(len(list(self.folder.glob("log-*"))), 1)
