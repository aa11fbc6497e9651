"""Tests of the HTTP interface for operators on one control instance."""

from __future__ import annotations

import errno
import tempfile
import unittest
from pathlib import Path
from typing import Any
from unittest import mock

import aiohttp

from yuccareach.control.options import ControlOptions
from yuccareach.control.run import ControlProcess
from yuccareach.settings.store import hash_key

PLATFORM = "platform-token"
TEAM = "team-token"
SETTINGS = {"pipelines": {"p": {"layers": 4}}}


class OperatorTestCase(unittest.IsolatedAsyncioTestCase):
    """Base of tests that run one control instance."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.process = await self.start("data", bootstrap=True)
        self.http = aiohttp.ClientSession()
        self.addAsyncCleanup(self.http.close)

    async def start(self, data: str, **options: Any) -> ControlProcess:
        process = ControlProcess(
            ControlOptions(
                "c1",
                "z",
                self.folder / data,
                platform_token_sha256=hash_key(PLATFORM),
                **options,
            )
        )
        await process.start()
        self.addAsyncCleanup(process.stop)
        return process

    async def request(
        self,
        method: str,
        path: str,
        body: Any = None,
        token: str = PLATFORM,
        **headers: str,
    ) -> tuple[int, Any]:
        """Send a request, repeated until this instance leads."""
        headers = {"Authorization": f"Bearer {token}"} | {
            name.replace("_", "-"): value for name, value in headers.items()
        }
        while True:
            async with self.http.request(
                method,
                f"http://{self.process.http.address}{path}",
                json=body,
                headers=headers,
            ) as response:
                if response.status != 421:
                    return response.status, await response.json(content_type=None)

    async def put(
        self, team: str, base: int, change: str, body: Any = SETTINGS, **extra: str
    ) -> tuple[int, Any]:
        headers = {"If_Match": f'"{base}"', "Change_Id": change}
        return await self.request(
            "PUT", f"/v1/settings/{team}", body, **headers, **extra
        )


class SettingsTests(OperatorTestCase):
    async def test_second_of_two_concurrent_changes_is_refused(self) -> None:
        self.assertEqual((await self.put("a", 0, "first"))[0], 200)
        status, answer = await self.put("a", 0, "second")
        self.assertEqual(status, 412)
        self.assertEqual(answer["winner_change_id"], "first")
        self.assertEqual((await self.put("b", 0, "other team"))[0], 200)

    async def test_retry_with_the_same_change_id_gets_the_first_answer(self) -> None:
        first = await self.put("a", 0, "one")
        await self.put("a", 1, "two")
        self.assertEqual(await self.put("a", 0, "one"), first)
        other = {"pipelines": {"p": {"layers": 5}}}
        status, answer = await self.put("a", 0, "one", other)
        self.assertEqual((status, answer["error"]), (409, "change_id_reused"))

    async def test_invalid_settings_and_headers_change_nothing(self) -> None:
        invalid = {"pipelines": {"p": {"layers": "four"}}}
        self.assertEqual((await self.put("a", 0, "x", invalid))[0], 422)
        status, _ = await self.request("PUT", "/v1/settings/a", SETTINGS, Change_Id="x")
        self.assertEqual(status, 428)
        status, _ = await self.request("PUT", "/v1/settings/a", SETTINGS, If_Match="0")
        self.assertEqual(status, 400)
        self.assertEqual((await self.request("GET", "/v1/settings"))[1]["revision"], 0)

    async def test_token_of_a_team_permits_only_its_own_settings(self) -> None:
        operators = {"o": {"team": "a", "token_sha256": [hash_key(TEAM)]}}
        await self.put("platform", 0, "x", {"operators": operators})
        self.assertEqual((await self.put("a", 0, "y", token=TEAM))[0], 200)
        self.assertEqual((await self.put("b", 0, "z", token=TEAM))[0], 403)
        self.assertEqual((await self.put("a", 0, "z", token="wrong"))[0], 401)
        for path in ("/v1/settings/b", "/v1/settings", "/v1/status", "/v1/history"):
            with self.subTest(path=path):
                self.assertEqual((await self.request("GET", path, token=TEAM))[0], 403)
        history = await self.request("GET", "/v1/history?team=a", token=TEAM)
        self.assertEqual([item["change_id"] for item in history[1]], ["y"])

    async def test_removed_team_can_be_added_again(self) -> None:
        await self.put("a", 0, "x")
        headers = {"If_Match": '"1"', "Change_Id": "y"}
        self.assertEqual(
            (await self.request("DELETE", "/v1/settings/a", **headers))[0], 200
        )
        self.assertEqual((await self.request("GET", "/v1/settings/a"))[0], 404)
        self.assertEqual((await self.put("a", 2, "z"))[0], 200)


class DiskTests(OperatorTestCase):
    async def test_full_disk_refuses_changes_and_is_reported_in_status(self) -> None:
        await self.put("a", 0, "x")
        full = OSError(errno.ENOSPC, "No space left on device")
        with mock.patch("yuccareach.control.store.os.fdatasync", side_effect=full):
            headers = {
                "Authorization": f"Bearer {PLATFORM}",
                "If-Match": '"1"',
                "Change-Id": "y",
            }
            url = f"http://{self.process.http.address}/v1/settings/a"
            async with self.http.put(url, json=SETTINGS, headers=headers) as response:
                self.assertEqual(response.status, 421)
                self.assertEqual((await response.json())["title"], "disk_failed")
        _, status = await self.request("GET", "/v1/status")
        self.assertEqual(status["role"], "failed")
        self.assertIn("No space left", status["failure"])

    async def test_backup_is_restored_into_a_new_instance(self) -> None:
        await self.put("a", 0, "x")
        await self.put("b", 0, "y")
        backup = self.folder / "backup"
        backup.write_bytes(self.process.machine.dump())
        self.process = await self.start("new", restore=backup)
        _, settings = await self.request("GET", "/v1/settings")
        self.assertEqual(settings, {"revision": 2, "teams": {"a": 1, "b": 2}})
        self.assertEqual((await self.put("a", 1, "z"))[1]["revision"], 3)
