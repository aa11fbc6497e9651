"""Tests of the check command."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

import yaml
from click.testing import CliRunner, Result

from tests.platform.examples import (
    KEY,
    MODEL,
    PLAIN,
    build_document,
    build_route,
    build_settings,
)
from yuccareach.cli.main import main
from yuccareach.gateway.table import AcceleratorKind, Limits, ModelProfile, Route
from yuccareach.platform.documents import get_term

# Fields that the example of a document leaves out.
OPTIONAL_FIELDS = '"trafficSplit" "loads_at_once"'


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


class DocumentTests(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def write(self, name: str, document: Any) -> str:
        path = self.folder / name
        path.write_text(json.dumps(document))
        return str(path)

    def check(self, *arguments: str) -> Result:
        return CliRunner().invoke(main, ["check", *arguments])

    def test_warnings_name_the_fields_of_the_document(self) -> None:
        routes = [
            build_route("/a/", "safe", PLAIN, targetLatencyMs=6_000),
            build_route("/b/", "stream", MODEL, targetGapMs=7_000),
        ]
        file = self.write(
            "d.json",
            build_document(routes=routes, tenants=[{"name": "b"}], limits={}),
        )
        result = self.check(file)
        self.assertEqual(result.exit_code, 0, result.output)
        for warning in (
            "route ra: targetLatencyMs 6000 is longer than timeoutMs 5000",
            "route rb: targetGapMs 7000 is longer than timeoutMs 5000",
            "tenant b: has no key, so no request belongs to it",
        ):
            self.assertIn(f"{file}: {warning}\n", result.output)
        self.assertEqual(self.check(file, "--strict").exit_code, 1)

    def test_strict_check_of_a_document_without_warnings_passes(self) -> None:
        result = self.check(self.write("d.json", build_document()), "--strict")
        self.assertEqual(result.exit_code, 0, result.output)

    def test_service_declared_twice_is_named(self) -> None:
        document = build_document()
        document["services"].append({"name": PLAIN, "maxConnections": 3})
        result = self.check(self.write("d.json", document))
        self.assertIn(f"service {PLAIN}: declared 2 times, only", result.output)

    def test_differences_are_shown_without_keys(self) -> None:
        old = self.write("old.json", build_document())
        document = build_document(8, tenants=[{"name": "a", "apiKeys": ["new-key"]}])
        document["services"][0]["engine"]["kinds"][0]["sizeMb"] = 80_000.0
        del document["services"][0]["engine"]["kinds"][2]
        document["routes"][2]["kind"] = "unsafe"
        result = self.check(self.write("new.json", document), "--in-force", old)
        self.assertEqual(result.exit_code, 0, result.output)
        for difference in (
            "tenant a: priority: 1 -> none",
            "tenant a: keys: 1 added, 1 removed",
            f"service {MODEL}: engine.kinds.a100.sizeMb: 72000.0 -> 80000.0",
            f"service {MODEL}: engine.kinds.l4.sizeMb: 21600.0 -> none",
            "route rlook: kind: safe -> unsafe",
        ):
            self.assertIn(f"{difference}\n", result.output)
        for key in (KEY, "new-key"):
            self.assertNotIn(key, result.output)

    def test_version_that_would_not_come_into_force_is_named(self) -> None:
        old = self.write("old.json", build_document())
        new = self.write("new.json", build_document(limits={}))
        result = self.check(new, "--in-force", old)
        self.assertIn("version: 7 is not higher than 7, which stays", result.output)
        result = self.check(old, "--in-force", old, "--strict")
        self.assertEqual(result.exit_code, 0, result.output)

    def test_errors_of_the_document_in_force_are_listed(self) -> None:
        new = self.write("new.json", build_document())
        old = self.write("old.json", build_document(limits=3))
        result = self.check(new, "--in-force", old)
        self.assertEqual(result.exit_code, 2)
        self.assertIn(f"{old}: Expected `object`", result.output)

    def test_settings_file_is_not_compared(self) -> None:
        path = self.folder / "s.yaml"
        path.write_text(yaml.safe_dump(build_settings()))
        result = self.check(str(path), "--in-force", str(path))
        self.assertEqual(result.exit_code, 2)
        self.assertIn("--in-force needs a routing document", result.output)

    def test_every_renamed_field_of_the_table_is_a_field_of_the_document(self) -> None:
        shown = json.dumps(build_document())
        types = (Route, Limits, ModelProfile, AcceleratorKind)
        for field in {field for item in types for field in item._fields}:
            term = get_term(field).split(" ")[0].split(".")[-1]
            with self.subTest(field=field):
                self.assertIn(f'"{term}"', shown + OPTIONAL_FIELDS)


class MalformedFileTests(unittest.TestCase):
    def check(self, name: str, content: bytes) -> Result:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / name
            path.write_bytes(content)
            return CliRunner().invoke(main, ["check", str(path)])

    def test_file_that_a_parser_cannot_read_gives_no_traceback(self) -> None:
        twice = b'{"version": "x", ' + json.dumps(build_document()).encode()[1:]
        for name, content in (
            ("nested.json", b"[" * 100_000),
            ("not-utf-8.json", b"\xff"),
            ("field-given-twice.json", twice),
            ("nested.yaml", b"[" * 5_000),
            ("month-13.yaml", b"a: 2001-13-99"),
            ("digits.yaml", b"a: " + b"1" * 5_000),
            ("nested.toml", b"a=" + b"[" * 5_000),
            ("digits.toml", b"a=" + b"1" * 5_000),
        ):
            with self.subTest(name=name):
                result = self.check(name, content)
                self.assertIsInstance(result.exception, SystemExit)
                self.assertEqual(result.exit_code, 2)
                self.assertIn("1 faults", result.output)

    def test_name_with_control_characters_stays_on_its_line(self) -> None:
        routes = [build_route("/a/", "safe", PLAIN, name="r\n\x1b[2J", timeoutMs=400)]
        content = json.dumps(build_document(routes=routes)).encode()
        result = self.check("d.json", content)
        self.assertIn(": route r\\n\\x1b[2J: targetLatencyMs 500 is", result.output)

    def test_name_that_the_output_cannot_encode_is_escaped(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            old, new = Path(folder) / "old.json", Path(folder) / "new.json"
            old.write_text(json.dumps(build_document()))
            routes = [build_route("/a/", "safe", PLAIN, name="\u0142")]
            new.write_text(json.dumps(build_document(8, routes=routes)))
            result = CliRunner(charset="ascii").invoke(
                main, ["check", str(new), "--in-force", str(old)]
            )
        self.assertEqual(result.exit_code, 0, result.exception)
        self.assertIn("route \\u0142: added", result.output)
