"""Tests of control instances without a data folder, or with one that refuses writes."""

from __future__ import annotations

import errno
import os
from pathlib import Path
from typing import Any
from unittest import mock

from tests.platform.deployment import DeploymentTestCase, find_free_port
from tests.platform.examples import build_document
from yuccareach.control.raft_types import Role
from yuccareach.control.store import DiskStore
from yuccareach.platform.run_control import PlatformControl
from yuccareach.platform.standin import get_document, put_document

SECOND_HOST = "127.0.0.2"


class SecondControlTestCase(DeploymentTestCase):
    """A test case that adds a second control instance at another address."""

    async def add_second_control(self, data_folder: str) -> PlatformControl:
        settings = self.write_and_load_settings("second")
        port = find_free_port()
        control = PlatformControl(
            settings._replace(
                host=SECOND_HOST,
                operators_address=f"{SECOND_HOST}:{port}",
                should_bootstrap=False,
                data_folder=data_folder,
            )
        )
        self.second = control
        self.second_address = f"{SECOND_HOST}:{port}"
        await control.start()
        self.addAsyncCleanup(control.stop)
        return control

    def knows_leader(self) -> bool:
        return bool(self.second.process.leader_operator_address())


class NoDataFolderTests(SecondControlTestCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        rename = os.rename

        def _refuse(path: Any, target: Any) -> None:
            # As on the platform: only the data folder takes renames.
            if not Path(path).is_relative_to(self.folder):
                raise OSError(errno.EROFS, os.strerror(errno.EROFS), str(path))
            rename(path, target)

        self.enterContext(mock.patch("os.rename", _refuse))

    async def test_control_ended_at_its_first_write_without_a_data_folder(self) -> None:
        await self.add_second_control("")
        await self.wait_until(self.knows_leader)
        self.assertEqual(self.second.process.state.role, Role.FOLLOWER)

    async def test_operators_are_redirected_to_the_leader(self) -> None:
        await self.add_second_control("")
        await self.wait_until(self.knows_leader)
        status = await put_document(self.second_address, build_document(version=12))
        self.assertEqual(status, 200)
        status, content = await get_document(self.second_address)
        self.assertEqual(status, 200)
        self.assertIn(b'"version":12', content)

    async def test_heartbeats_reach_gateways_through_it(self) -> None:
        await self.add_second_control("")
        await self.wait_until(self.knows_leader)
        self.control_address = self.second_address
        await self.add_runner("p-1")
        await self.wait_until_known("p-1")

    async def test_it_never_votes(self) -> None:
        await self.add_second_control("")
        identity = self.second.process.state.identity

        def _list_voters() -> dict[str, bool]:
            peers = self.control.process.state.membership.peers
            return {peer.identity: peer.voter for peer in peers}

        await self.wait_until(lambda: identity in _list_voters())
        # Later ticks of the leader must not promote it either.
        for version in range(20, 30):
            await put_document(self.control_address, build_document(version=version))
        self.assertFalse(_list_voters()[identity])


class RefusingDiskTests(SecondControlTestCase):
    async def test_control_ended_at_its_start_while_its_disk_was_full(self) -> None:
        full = OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        with mock.patch("os.fsync", side_effect=full):
            await self.add_second_control(str(self.folder / "full"))
            process = self.second.process
            self.assertIs(process.state.role, Role.FAILED)
            # It still takes heartbeats, and forwards them once it has joined.
            self.control_address = self.second_address
            await self.add_runner("p-1")
            await self.wait_until(
                lambda: "p-1" in self.second.process.members.record_by_name
            )
        await self.wait_until(lambda: process.state.role is Role.FOLLOWER)
        await self.wait_until(self.knows_leader)
        await self.wait_until_known("p-1")
        self.assertIsInstance(process.store, DiskStore)
