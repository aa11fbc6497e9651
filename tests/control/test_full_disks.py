"""Disks that are full from any of their writes on, and have room again later."""

from __future__ import annotations

import asyncio
import errno
import os
import tempfile
import unittest
from contextlib import contextmanager
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING, Any
from unittest import mock

from yuccareach.control import raft
from yuccareach.control.errors import DiskFailed
from yuccareach.control.options import ControlOptions
from yuccareach.control.persistence import persist
from yuccareach.control.raft_types import (
    BatchEnded,
    CommandAnswered,
    CommandSubmitted,
    RaftState,
    Role,
    WriteFailed,
)
from yuccareach.control.run import ControlProcess
from yuccareach.control.state_machine import StateMachine, load_state_machine
from yuccareach.control.store import DiskStore
from yuccareach.proto import control_pb2 as cpb
from yuccareach.runtime.reducer import Tick

if TYPE_CHECKING:
    from collections.abc import Iterator

SNAPSHOT_INTERVAL_RECORDS = 4
DOCUMENTS = 12
TICK_MS = 50
# Longer than an election takes, in which the instance votes for itself.
MAX_ELECTION_TICKS = 100


class FullDisk:
    """Refuses every write after some; the last one that succeeds may be torn."""

    def __init__(self, writes_left: int, *, tears: bool) -> None:
        self.writes_left = writes_left
        self.tears = tears
        self.is_reached = False

    def _take(self) -> None:
        if self.writes_left <= 0:
            self.is_reached = True
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        self.writes_left -= 1

    @contextmanager
    def fill(self) -> Iterator[None]:
        """Refuse the writes of the data folder within the context."""
        write, path_open = os.write, Path.open
        calls = {
            "fsync": os.fsync,
            "fdatasync": os.fdatasync,
            "mkdir": os.mkdir,
        }

        def _write(descriptor: int, data: Any) -> int:
            if self.writes_left == 1 and self.tears and len(data) > 1:
                self.writes_left = 0
                return write(descriptor, data[: len(data) // 2])
            self._take()
            return write(descriptor, data)

        def _open(path: Path, mode: str = "r", *args: Any, **kwargs: Any) -> Any:
            if mode != "rb":
                self._take()
            return path_open(path, mode, *args, **kwargs)

        def _refuse(name: str) -> Any:
            def _call(*args: Any, **kwargs: Any) -> Any:
                self._take()
                return calls[name](*args, **kwargs)

            return _call

        rename = Path.rename

        def _rename(path: Path, target: Path) -> Path:
            self._take()
            return rename(path, target)

        with (
            mock.patch.object(os, "write", _write),
            mock.patch.object(os, "fsync", _refuse("fsync")),
            mock.patch.object(os, "fdatasync", _refuse("fdatasync")),
            mock.patch.object(Path, "open", _open),
            mock.patch.object(Path, "rename", _rename),
            mock.patch.object(os, "mkdir", _refuse("mkdir")),
        ):
            yield


class Instance:
    """One control instance, the only voter, without its process."""

    def __init__(self, folder: Path) -> None:
        self.store = DiskStore(folder, "c1")
        self.now_ms = 0
        self.acknowledged: set[int] = set()

    def reopen(self) -> None:
        """Load the state again, as once the disk is writable."""
        self.store.close()
        self.store.check_writable()
        self.load()

    def load(self) -> None:
        """Load the state from the disk, as at a start."""
        stored = self.store.load()
        machine = (
            load_state_machine(stored.snapshot.state)
            if stored.snapshot.state
            else StateMachine()
        )
        self.state = RaftState(
            stored.hard_state.identity,
            stored,
            machine,
            Random(1),
            SNAPSHOT_INTERVAL_RECORDS,
            1,
        )
        peer = cpb.Peer(name="c1", identity=self.state.identity, address="a")
        self.perform(raft.bootstrap(self.state, peer, self.now_ms))

    def perform(self, effects: list[Any]) -> None:
        """Store what the effects change; raises DiskFailed."""
        try:
            persist(self.store, self.state, effects)
        except DiskFailed as error:
            raft.reduce(self.state, WriteFailed(str(error)), self.now_ms)
            raise
        self.acknowledged |= {
            effect.answer.document_version
            for effect in effects
            if isinstance(effect, CommandAnswered)
        }

    def reduce(self, event: Any) -> None:
        """Reduce an event as one batch."""
        effects = [
            effect
            for item in (event, BatchEnded())
            for effect in raft.reduce(self.state, item, self.now_ms)
        ]
        self.perform(effects)

    def lead(self) -> None:
        """Let time pass until the instance leads."""
        for _ in range(MAX_ELECTION_TICKS):
            if self.state.role is Role.LEADER:
                return
            self.now_ms += TICK_MS
            self.reduce(Tick())
        raise AssertionError("nobody leads")

    def put(self, version: int) -> None:
        """Submit a routing document."""
        document = cpb.RoutingDocument(version=version, content=b"x" * 300)
        self.reduce(CommandSubmitted(version, cpb.Command(document=document)))


class FullDiskTests(unittest.TestCase):
    """Guards against instances that never take part again once the disk has room."""

    def play(self, writes: int, *, tears: bool) -> FullDisk:
        """Fill the disk after some writes, empty it, and check what is left."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        instance = Instance(Path(folder.name) / "data")
        self.addCleanup(instance.store.close)
        disk = FullDisk(writes, tears=tears)
        version = 0
        with disk.fill():
            try:
                instance.load()
                instance.lead()
                for version in range(1, DOCUMENTS + 1):
                    instance.put(version)
            except DiskFailed:
                # It stays full for a while.
                for _ in range(2):
                    with self.assertRaises(DiskFailed):
                        instance.reopen()
        acknowledged = max(instance.acknowledged, default=0)
        instance.reopen()
        instance.lead()
        self.assertGreaterEqual(instance.state.machine.document.version, acknowledged)
        self.assertLessEqual(instance.state.machine.document.version, version)
        instance.put(DOCUMENTS + 1)
        self.assertIn(DOCUMENTS + 1, instance.acknowledged)
        instance.reopen()
        instance.lead()
        self.assertEqual(instance.state.machine.document.version, DOCUMENTS + 1)
        return disk

    def check_every_write(self, *, tears: bool) -> None:
        """Fill the disk at each write, among them those of starts and snapshots."""
        writes = 0
        is_reached = True
        while is_reached:
            with self.subTest(writes=writes):
                is_reached = self.play(writes, tears=tears).is_reached
            writes += 1
        # Each document takes a write and a sync, each snapshot some more.
        self.assertGreater(writes, 3 * DOCUMENTS)

    def test_disk_is_full_from_any_write_on(self) -> None:
        self.check_every_write(tears=False)

    def test_last_write_before_the_disk_is_full_is_torn(self) -> None:
        self.check_every_write(tears=True)


class InterruptedStartTests(unittest.IsolatedAsyncioTestCase):
    async def test_start_that_a_full_disk_interrupted_was_never_completed(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        options = ControlOptions("c1", "z", Path(folder.name), bootstrap=True)
        error = DiskFailed("full")
        with (
            mock.patch.object(DiskStore, "append", side_effect=error),
            mock.patch.object(DiskStore, "check_writable", side_effect=error),
        ):
            process = ControlProcess(options)
            await process.start()
            self.assertIs(process.state.role, Role.FAILED)
            await process.stop()
        process = ControlProcess(options._replace(bootstrap=False))
        await process.start()
        self.addAsyncCleanup(process.stop)
        async with asyncio.timeout(MAX_ELECTION_TICKS * TICK_MS / 1000):
            while process.state.role is not Role.LEADER:
                await asyncio.sleep(TICK_MS / 1000)
