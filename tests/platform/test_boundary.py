"""What the adapter may know, and what nothing else may."""

from __future__ import annotations

import ast
import unittest
from pathlib import Path

import yuccareach

SOURCE = Path(yuccareach.__file__).parent
ADAPTER = SOURCE / "platform"
WIRE_NAMES = (
    "yuccareach-hop-count",
    "yuccareach-token-usage",
    "yuccareach-prompt-prefix",
    "yuccareach-target-runner",
    "yuccareach-runner-signature",
    "yuccareach-tenant",
    "yuccareach-deadline-ms",
    "pathprefix",
    "trafficsplit",
    "coldremainingms",
    "/-/config",
    "/-/order",
    "/-/report",
    "/-/runners",
)
# Packages whose modules decide; the adapter may name their types and entry points.
DECISIONS = {
    "yuccareach.gateway.admission",
    "yuccareach.gateway.calls",
    "yuccareach.gateway.chains",
    "yuccareach.gateway.handler",
    "yuccareach.gateway.stalls",
    "yuccareach.gateway.streams",
}


class BoundaryTests(unittest.TestCase):
    def modules(self) -> list[Path]:
        return [path for path in SOURCE.rglob("*.py") if "_pb2" not in path.name]

    def test_nothing_outside_the_adapter_names_the_wire(self) -> None:
        for path in self.modules():
            if ADAPTER in path.parents:
                continue
            text = path.read_text().lower()
            named = [name for name in WIRE_NAMES if name in text]
            with self.subTest(module=str(path.relative_to(SOURCE))):
                self.assertEqual(named, [])

    def test_nothing_outside_the_adapter_imports_it(self) -> None:
        for path in self.modules():
            if ADAPTER in path.parents:
                continue
            with self.subTest(module=str(path.relative_to(SOURCE))):
                self.assertNotIn("yuccareach.platform", path.read_text())

    def test_the_adapter_imports_no_decisions(self) -> None:
        for path in ADAPTER.glob("*.py"):
            imported = {
                node.module
                for node in ast.walk(ast.parse(path.read_text()))
                if isinstance(node, ast.ImportFrom)
            }
            with self.subTest(module=path.name):
                self.assertEqual(imported & DECISIONS, set())
