"""Tests of the check command."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path

import yaml
from click.testing import CliRunner, Result

from tests.platform.examples import PLAIN, build_document, build_route, build_settings
from yuccareach.cli.main import main


class CheckTests(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def check(self, name: str, text: str) -> Result:
        path = self.folder / name
        path.write_text(text)
        return CliRunner().invoke(main, ["check", str(path)])

    def test_valid_files_have_no_errors(self) -> None:
        result = self.check("document.json", json.dumps(build_document()))
        self.assertEqual(result.exit_code, 0, result.output)
        result = self.check("local.yaml", yaml.safe_dump(build_settings()))
        self.assertEqual(result.exit_code, 0, result.output)

    def test_all_type_errors_of_a_document_are_listed_with_their_field(self) -> None:
        routes = [
            build_route("/a/", "safe", PLAIN, timeoutMs="soon"),
            build_route("/b/", "safe", PLAIN),
            {"name": "r"},
        ]
        result = self.check(
            "d.json", json.dumps(build_document(routes=routes, limits=3))
        )
        self.assertEqual(result.exit_code, 2)
        self.assertIn("routes[0]: Expected `int`", result.output)
        self.assertIn("routes[2]: Object missing required field", result.output)
        self.assertIn("$.limits", result.output)
        self.assertIn("3 faults", result.output)

    def test_all_invalid_values_of_a_document_are_listed(self) -> None:
        routes = [
            build_route("/a/", "safe", "none", timeoutMs=0),
            build_route("/b/", "odd", PLAIN),
        ]
        result = self.check("d.json", json.dumps(build_document(routes=routes)))
        for reason in ("unknown service none", "timeoutMs is 0", "unknown kind odd"):
            self.assertIn(reason, result.output)

    def test_all_invalid_values_of_a_settings_file_are_listed(self) -> None:
        invalid = build_settings(seeds=["nowhere", "1.1.1.1:80"], internalPorts=[5, 4])
        result = self.check("local.yaml", yaml.safe_dump(invalid))
        self.assertEqual(result.exit_code, 2)
        self.assertIn("nowhere is no HOST:PORT", result.output)
        self.assertIn("internalPorts", result.output)

    def test_file_with_a_syntax_error_has_one_error(self) -> None:
        for name, text in (("d.json", "{"), ("s.yaml", "a: ["), ("d.toml", "a =")):
            result = self.check(name, text)
            self.assertEqual(result.exit_code, 2)
            self.assertIn("1 faults", result.output)
