"""Tests of the commands through their command lines."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from click.testing import CliRunner, Result

from yuccareach import __version__
from yuccareach.cli import agent, control, entry, load, main, standin

COMMANDS = {
    "yuccareach": main.main,
    "yuccareach-agent": agent.main,
    "yuccareach-control": control.main,
    "yuccareach-entry": entry.main,
    "yuccareach-load": load.main,
    "yuccareach-standin": standin.main,
}
FLEET = """
layers: 24
engines:
  - {kind: a100, availability_zone: z1, layer_rate: 120000, memory_layers: 24, count: 2}
  - {kind: t4, availability_zone: z2, layer_rate: 12000, memory_layers: 12, count: 4}
links:
  - {source: z1, target: z2, bytes_per_s: 1000000}
"""


class CommandTestCase(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def run_command(self, name: str, *arguments: str, **environment: str) -> Result:
        return CliRunner().invoke(COMMANDS[name], arguments, env=environment)

    def write(self, name: str, text: str) -> str:
        path = self.folder / name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text, encoding="utf-8")
        return str(path)


class CommandLineTests(CommandTestCase):
    def test_every_command_has_help_and_version(self) -> None:
        for name in COMMANDS:
            with self.subTest(command=name):
                self.assertEqual(self.run_command(name, "--help").exit_code, 0)
                self.assertIn(__version__, self.run_command(name, "--version").output)

    def test_invalid_options_exit_with_status_2_and_name_the_option(self) -> None:
        cases = [
            ("yuccareach-entry", ["--instance", "e"], "--availability-zone"),
            (
                "yuccareach-entry",
                ["--instance", "e", "--availability-zone", "z", "--control", "nowhere"],
                "--control",
            ),
            (
                "yuccareach-agent",
                ["--backend-server", "b", "--availability-zone", "z"]
                + ["--control", "h:1", "--engine", "h:2", "--service", "s"],
                "--engine or --service",
            ),
            ("yuccareach-control", ["--port", "many"], "--port"),
        ]
        for name, arguments, flag in cases:
            with self.subTest(command=name, flag=flag):
                result = self.run_command(name, *arguments)
                self.assertEqual(result.exit_code, 2)
                self.assertIn(flag, result.output)
                self.assertNotIn("Traceback", result.output)

    def test_options_are_read_from_the_environment(self) -> None:
        result = self.run_command(
            "yuccareach-entry",
            "--instance",
            "e",
            "--availability-zone",
            "z",
            YUCCAREACH_ENTRY_CONTROL="not-an-address",
        )
        self.assertEqual(result.exit_code, 2)
        self.assertIn("not-an-address", result.output)

    def test_used_port_is_reported_on_one_line(self) -> None:
        import socket

        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            port = str(listener.getsockname()[1])
            result = self.run_command("yuccareach-standin", "service", "--port", port)
        self.assertEqual(result.exit_code, 2)
        self.assertIn(f"error: cannot listen on 127.0.0.1:{port}", result.output)


class ValidateTests(CommandTestCase):
    def test_errors_are_listed_with_their_positions(self) -> None:
        path = self.write("team/a.yaml", "pipelines:\n  p: {layers: x}\n")
        result = self.run_command("yuccareach", "validate", str(self.folder))
        self.assertEqual(result.exit_code, 2)
        self.assertIn(f"{path}:2:7: Expected `int`", result.output)

    def test_valid_declarations_are_counted(self) -> None:
        self.write("team/a.yaml", "pipelines:\n  p: {layers: 3}\n")
        result = self.run_command("yuccareach", "validate", str(self.folder))
        self.assertEqual((result.exit_code, result.output), (0, "team: 1 pipelines\n"))


class PlanTests(CommandTestCase):
    def test_shows_ranges_flow_and_bound(self) -> None:
        path = self.write("fleet.yaml", FLEET)
        result = self.run_command("yuccareach", "plan", path)
        self.assertEqual(result.exit_code, 0)
        self.assertRegex(result.output, r"flow [\d.]+ tokens/s, bound 12000.0")
        self.assertIn("bottleneck: layers", result.output)

    def test_invalid_file_is_reported_on_one_line(self) -> None:
        path = self.write("fleet.yaml", "layers: many\n")
        result = self.run_command("yuccareach", "plan", path)
        self.assertEqual(result.exit_code, 2)
        self.assertRegex(result.output, rf"^error: {path}: .*layers")
