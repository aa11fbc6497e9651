"""Disks of control instances that are full one after the other, beside changes."""

from __future__ import annotations

import asyncio
import os
import shutil
from typing import TYPE_CHECKING, Any
from unittest import mock

from tests.platform.control_cluster import ControlClusterTestCase
from tests.platform.examples import build_document
from yuccareach.control.errors import DiskFailed
from yuccareach.control.raft_types import Role
from yuccareach.control.store import DiskStore
from yuccareach.platform import run_control
from yuccareach.platform.standin import get_document, put_document

if TYPE_CHECKING:
    from pathlib import Path

FULL_S = 1.5
# The platform's bound for an acknowledgement (ackMs).
ACKNOWLEDGEMENT_S = 4.0
# Small, so that disks fill while the log is cut and snapshots are written.
SNAPSHOT_INTERVAL_ENTRIES = 3
# Changes that are acknowledged at least while disks are full in turn.
MIN_CHANGES = 10
VOTERS = ("control-1", "control-2", "control-3")


class FullDiskTestCase(ControlClusterTestCase):
    """A test case whose disks can be full; each write is then torn or refused."""

    host_by_name = {f"control-{number}": f"127.0.1.{number}" for number in range(1, 4)}

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.full_names: set[str] = set()
        # Files that a full disk refuses; any if empty.
        self.refused_files: set[str] = set()
        append, replace = DiskStore.append, DiskStore._replace_file
        check, load = DiskStore.check_writable, DiskStore.load

        def _is_refused(store: DiskStore, file: str) -> bool:
            is_full = store.folder.name in self.full_names
            return is_full and (not self.refused_files or file in self.refused_files)

        def _append(store: DiskStore, records: Any) -> None:
            if _is_refused(store, "log"):
                assert store.log_descriptor is not None
                os.write(store.log_descriptor, b"YRLG torn")
                raise DiskFailed("full")
            append(store, records)

        def _replace(store: DiskStore, path: Path, payload: bytes) -> None:
            if _is_refused(store, path.name):
                path.with_suffix(".new").write_bytes(payload[: len(payload) // 2])
                raise DiskFailed("full")
            replace(store, path, payload)

        def _check(store: DiskStore) -> None:
            if _is_refused(store, "writable"):
                raise DiskFailed("full")
            check(store)

        def _load(store: DiskStore) -> Any:
            if _is_refused(store, "load") and not store.folder.exists():
                raise DiskFailed("full")
            return load(store)

        for name, call in (
            ("append", _append),
            ("_replace_file", _replace),
            ("check_writable", _check),
            ("load", _load),
        ):
            self.enterContext(mock.patch.object(DiskStore, name, call))
        self.enterContext(
            mock.patch.object(
                run_control, "SNAPSHOT_INTERVAL_ENTRIES", SNAPSHOT_INTERVAL_ENTRIES
            )
        )
        self.version = 10
        self.acknowledged = 0

    async def put(self) -> bool:
        """Send the next change to each instance in turn until one acknowledges it."""
        self.version += 1
        version = self.version
        for name in VOTERS:
            try:
                async with asyncio.timeout(1.0):
                    status = await put_document(
                        self.operators_address(name), build_document(version)
                    )
            except (OSError, TimeoutError):
                continue
            if status == 200:
                self.acknowledged = max(self.acknowledged, version)
                return True
        return False

    async def put_many(self) -> None:
        """Send changes until cancelled."""
        while True:
            await self.put()
            await asyncio.sleep(0.02)

    async def fill(self, name: str) -> None:
        """Let a disk be full for a time."""
        self.full_names = {name}
        await asyncio.sleep(FULL_S)
        self.full_names = set()

    async def assert_changes_are_acknowledged(self) -> None:
        """Check that all instances take part, and that a change is acknowledged."""
        async with asyncio.timeout(ACKNOWLEDGEMENT_S):
            while not await self.put():
                await asyncio.sleep(0.05)
        await self.wait_until(
            lambda: all(
                control.process.state.role in (Role.LEADER, Role.FOLLOWER)
                for control in self.control_by_name.values()
            ),
            ACKNOWLEDGEMENT_S,
        )
        await self.wait_until(self.has_quorum, ACKNOWLEDGEMENT_S)
        self.assertTrue(await self.put())
        for name in VOTERS:
            status, content = await get_document(self.operators_address(name))
            self.assertEqual(status, 200)
            self.assertIn(b'"version":%d' % self.acknowledged, content)


class FullInTurnTests(FullDiskTestCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.start_cluster()
        self.assertTrue(await self.put())

    async def play(self, *names: str) -> None:
        first = self.acknowledged
        changes = asyncio.create_task(self.put_many())
        self.addCleanup(changes.cancel)
        for name in names:
            await self.fill(name)
            # The instance counts as lost until it has caught up.
            await self.wait_until(
                lambda name=name: self.control_by_name[name].process.state.role
                is not Role.FAILED,
                ACKNOWLEDGEMENT_S,
            )
        changes.cancel()
        self.assertGreater(self.acknowledged, first + MIN_CHANGES)
        await self.assert_changes_are_acknowledged()

    async def test_changes_are_acknowledged_after_disks_were_full_in_turn(
        self,
    ) -> None:
        await self.play(*VOTERS, *VOTERS[::-1])

    async def test_disks_that_are_full_as_snapshots_are_written(self) -> None:
        self.refused_files = {"snapshot", "writable"}
        await self.play(*VOTERS)

    async def test_disks_that_are_full_as_votes_are_stored(self) -> None:
        self.refused_files = {"vote", "writable"}
        await self.play(*VOTERS)

    async def test_process_that_starts_while_its_disk_is_full(self) -> None:
        await self.stop_control("control-2")
        self.full_names = {"control-2"}
        await self.start_control("control-2", list(VOTERS))
        await asyncio.sleep(FULL_S)
        self.full_names = set()
        await self.assert_changes_are_acknowledged()
        await self.play("control-3", "control-1")

    async def test_instance_that_joins_while_its_disk_is_full(self) -> None:
        await self.stop_control("control-2")
        shutil.rmtree(self.folder / "control-2")
        self.full_names = {"control-2"}
        await self.start_control("control-2", list(VOTERS))
        await asyncio.sleep(FULL_S)
        self.full_names = set()
        # Until then, it counts as lost, and its former identity still has a vote.
        process = self.control_by_name["control-2"].process
        await self.wait_until(lambda: process.state.is_voter)
        await self.wait_until(self.has_quorum)
        await self.play("control-3", "control-1")


class FullAtTheFirstStartTests(FullDiskTestCase):
    async def test_first_seed_whose_disk_was_full_never_started_the_cluster(
        self,
    ) -> None:
        for refused_files in (set(), {"log", "writable"}):
            with self.subTest(refused_files=refused_files):
                self.refused_files = refused_files
                self.full_names = {"control-1"}
                for name in VOTERS:
                    await self.start_control(name, list(VOTERS), bootstrap=True)
                await asyncio.sleep(FULL_S)
                self.full_names = set()
                await self.wait_until(self.has_quorum)
                await self.assert_changes_are_acknowledged()
                await self.stop_all()
                for name in VOTERS:
                    shutil.rmtree(self.folder / name)
