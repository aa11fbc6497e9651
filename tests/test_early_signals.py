"""Tests of signals that arrive while a process starts, through the real entry points.

They guard against the default action of a signal, which ended every gateway that got
SIGHUP 0.15 s after its start (docs/incidents/16-signals-during-the-start.md).
"""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
import unittest
from pathlib import Path

import yaml

from yuccareach.platform.settings import SETTINGS_VARIABLE

# Each process gets its signal so long after the interpreter has started. On the
# machines in use, a process serves after 0.3 to 2 s.
MOMENTS_S = [0.05 * number for number in range(10)]
TIMEOUT_S = 60.0
MAX_STARTING_PROCESSES = 4
POLL_INTERVAL_S = 0.001
PORT_BY_LISTENER = {"front": 7_411, "ready": 7_412, "control": 7_413}
PEER_PORT, METRICS_PORT = 7_414, 7_415
# Imported before everything that takes longer than a millisecond or two.
SLOW_PACKAGES = ("asyncio", "click", "grpc", "msgspec", "yaml")


def _get_host(number: int) -> str:
    """Return a loopback address that other runs on this machine hardly ever use."""
    pid = os.getpid()
    return f"127.{192 + pid % 48}.{pid // 48 % 250}.{10 + number}"


class _StartingProcess:
    """A process, and the file that its output goes to."""

    def __init__(self, process: asyncio.subprocess.Process, log: Path) -> None:
        self.process = process
        self.log = log

    def has_handler(self) -> bool:
        """Return whether the process itself has set a handler for SIGTERM.

        Python sets one for SIGINT only.
        """
        text = Path(f"/proc/{self.process.pid}/status").read_text()
        lines = (line.split() for line in text.splitlines())
        mask = next(int(line[1], 16) for line in lines if line[0] == "SigCgt:")
        return bool(mask & 1 << signal.SIGTERM - 1)

    def has_imported_library(self) -> bool:
        """Return whether the process has mapped an extension module of a library."""
        return "/site-packages/" in Path(f"/proc/{self.process.pid}/maps").read_text()

    async def wait_for_start(self) -> None:
        """Wait until the process has set a handler, or imports a library without one.

        Nothing can be done about a signal that arrives before, while the interpreter
        itself starts.
        """
        while self.process.returncode is None and not (
            self.has_handler() or self.has_imported_library()
        ):
            await asyncio.sleep(POLL_INTERVAL_S)

    async def wait_for_event(self, event: str) -> bool:
        """Return whether the log gets an event before the process ends."""
        while f"event={event}" not in self.log.read_text():
            if self.process.returncode is not None:
                return False
            await asyncio.sleep(0.02)
        return True


class EarlySignalTestCase(unittest.IsolatedAsyncioTestCase):
    """Starts processes, several at a time, and ends them after the test."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.starting = asyncio.Semaphore(MAX_STARTING_PROCESSES)

    async def launch(
        self, number: int, command: list[str], **environment: str
    ) -> _StartingProcess:
        """Start a process in this test's folder."""
        log = self.folder / f"{number}.log"
        with log.open("wb") as output:
            process = await asyncio.create_subprocess_exec(
                *command,
                stdout=output,
                stderr=output,
                env={**os.environ, "PYTHONUNBUFFERED": "1", **environment},
            )
        self.addAsyncCleanup(self.end, process)
        return _StartingProcess(process, log)

    async def end(self, process: asyncio.subprocess.Process) -> None:
        """Kill a process that a failed test has left."""
        if process.returncode is None:
            process.kill()
            await process.wait()

    async def launch_platform_role(self, role: str, number: int) -> _StartingProcess:
        """Start control, or a gateway that finds no control."""
        host = _get_host(number)
        listen = {name: f"{host}:{port}" for name, port in PORT_BY_LISTENER.items()}
        path = self.folder / f"{number}.yaml"
        path.write_text(
            yaml.safe_dump(
                {
                    "nodeId": f"n-{number}",
                    "zone": "z1",
                    "ip": host,
                    "listen": listen,
                    "internalPorts": [PEER_PORT, METRICS_PORT],
                    "seeds": [listen["control"]],
                    "bootstrap": True,
                    "dataDir": str(self.folder / f"data-{number}"),
                    "bounds": {"graceS": 1},
                }
            )
        )
        module = f"yuccareach.platform.run_{role}"
        return await self.launch(
            number, [sys.executable, "-m", module], **{SETTINGS_VARIABLE: str(path)}
        )

    async def launch_command(self, name: str, number: int) -> _StartingProcess:
        """Start the command of a role as its script does."""
        host = _get_host(number)
        arguments = {
            "control": ["--instance=c", "--availability-zone=z", "--bootstrap"]
            + [f"--data={self.folder / f'data-{number}'}", "--http-port=0"]
            + [f"--platform-token-sha256={'0' * 64}"],
            "entry": ["--instance=e", "--availability-zone=z", "--drain-grace-ms=0"]
            + [f"--control={host}:9"],
            "agent": ["--backend-server=b", "--availability-zone=z", "--service=s"]
            + ["--service-url=http://127.0.0.1:9", f"--control={host}:9"],
        }
        code = f"from yuccareach.cli.start import run_{name}; run_{name}()"
        options = [*arguments[name], f"--host={host}", "--port=0"]
        return await self.launch(number, [sys.executable, "-c", code, *options])

    async def end_at_every_moment(self, launch: object, role: str) -> list[int]:
        """Return the statuses of processes that got SIGTERM or SIGINT in turn."""
        assert callable(launch)

        async def _end_at(number: int, moment_s: float) -> int:
            async with self.starting:
                starting = await launch(role, number)
                await starting.wait_for_start()
                await asyncio.sleep(moment_s)
                starting.process.send_signal(
                    (signal.SIGTERM, signal.SIGINT)[number % 2]
                )
                return int(await starting.process.wait())

        async with asyncio.timeout(TIMEOUT_S):
            return await asyncio.gather(
                *(_end_at(*item) for item in enumerate(MOMENTS_S))
            )

    async def reload_at_every_moment(self, role: str) -> list[tuple[bool, int]]:
        """Send SIGHUP; return whether it reloaded the settings, and the later status.

        The process gets SIGTERM after it has reloaded.
        """

        async def _reload_at(number: int, moment_s: float) -> tuple[bool, int]:
            async with self.starting:
                starting = await self.launch_platform_role(role, number)
                await starting.wait_for_start()
                await asyncio.sleep(moment_s)
                starting.process.send_signal(signal.SIGHUP)
                has_reloaded = await starting.wait_for_event("reloaded")
                if starting.process.returncode is None:
                    starting.process.send_signal(signal.SIGTERM)
                return has_reloaded, await starting.process.wait()

        async with asyncio.timeout(TIMEOUT_S):
            return await asyncio.gather(
                *(_reload_at(*item) for item in enumerate(MOMENTS_S))
            )


class PlatformTests(EarlySignalTestCase):
    async def test_sighup_during_the_start_reloads_the_settings_of_a_gateway(
        self,
    ) -> None:
        results = await self.reload_at_every_moment("gateway")
        self.assertEqual(results, [(True, 0)] * len(MOMENTS_S))

    async def test_sighup_during_the_start_reloads_the_settings_of_control(
        self,
    ) -> None:
        results = await self.reload_at_every_moment("control")
        self.assertEqual(results, [(True, 0)] * len(MOMENTS_S))

    async def test_gateway_that_is_ended_during_its_start_shuts_down(self) -> None:
        statuses = await self.end_at_every_moment(self.launch_platform_role, "gateway")
        self.assertEqual(statuses, [0] * len(MOMENTS_S))

    async def test_control_that_is_ended_during_its_start_shuts_down(self) -> None:
        statuses = await self.end_at_every_moment(self.launch_platform_role, "control")
        self.assertEqual(statuses, [0] * len(MOMENTS_S))


class CommandTests(EarlySignalTestCase):
    async def test_commands_that_are_ended_during_their_start_shut_down(self) -> None:
        for name in ("control", "entry", "agent"):
            with self.subTest(command=name):
                statuses = await self.end_at_every_moment(self.launch_command, name)
                self.assertEqual(statuses, [0] * len(MOMENTS_S))

    async def test_interrupted_operators_command_prints_no_traceback(self) -> None:
        # Imports click at a moment when the command itself is not imported yet.
        code = (
            "import os, signal, sys, importlib.abc\n"
            "class Interrupt(importlib.abc.MetaPathFinder):\n"
            "    def find_spec(self, name, path, target=None):\n"
            "        if name == 'click':\n"
            "            os.kill(os.getpid(), signal.SIGINT)\n"
            "sys.meta_path.insert(0, Interrupt())\n"
            "from yuccareach.cli.start import run_yuccareach\n"
            "run_yuccareach()\n"
        )
        starting = await self.launch(0, [sys.executable, "-c", code, "status"])
        self.assertEqual(await starting.process.wait(), 1)
        self.assertEqual(starting.log.read_text().strip(), "Aborted!")


class ImportOrderTests(EarlySignalTestCase):
    """What an entry point imports before the signals are recorded is quick."""

    async def list_imports(self, *command: str) -> list[str]:
        """Return the modules that a process imports, in the order in which they end."""
        starting = await self.launch(0, [sys.executable, "-X", "importtime", *command])
        await starting.process.wait()
        return [
            line.rpartition("|")[2].strip()
            for line in starting.log.read_text().splitlines()
            if line.startswith("import time:")
        ]

    def assert_recorded_first(self, modules: list[str]) -> None:
        """Check that no slow package is imported before the signals are recorded."""
        position = modules.index("yuccareach.runtime.early_signals")
        packages = {name.partition(".")[0] for name in modules[:position]}
        self.assertFalse(packages & set(SLOW_PACKAGES))

    async def test_platform_roles_record_signals_before_slow_imports(self) -> None:
        for role in ("gateway", "control"):
            with self.subTest(role=role):
                # Ends by itself, since its settings are missing.
                modules = await self.list_imports(
                    "-m", f"yuccareach.platform.run_{role}"
                )
                self.assert_recorded_first(modules)

    async def test_commands_record_signals_before_slow_imports(self) -> None:
        code = "from yuccareach.cli.start import run_control; run_control()"
        self.assert_recorded_first(await self.list_imports("-c", code, "--help"))
