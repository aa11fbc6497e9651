"""Tests of the boundary between the platform's adapter and the other packages.

Only the adapter may contain the platform's wire names. No other package imports it, and
it imports no modules that decide how requests are routed.
"""

from __future__ import annotations

import ast
import unittest
from pathlib import Path

import yuccareach

SOURCE = Path(yuccareach.__file__).parent
ADAPTER = SOURCE / "platform"
# In lower case.
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
# Modules of the gateway that decide how requests are routed. The adapter may import the
# types and entry points of the gateway from other modules only.
DECISION_MODULES = {
    "yuccareach.gateway.admission",
    "yuccareach.gateway.calls",
    "yuccareach.gateway.chains",
    "yuccareach.gateway.handler",
    "yuccareach.gateway.stalls",
    "yuccareach.gateway.streams",
}


class BoundaryTests(unittest.TestCase):
    def list_modules(self) -> list[Path]:
        return [path for path in SOURCE.rglob("*.py") if "_pb2" not in path.name]

    def test_wire_names_occur_only_in_the_adapter(self) -> None:
        for path in self.list_modules():
            if ADAPTER in path.parents:
                continue
            text = path.read_text().lower()
            found_names = [name for name in WIRE_NAMES if name in text]
            with self.subTest(module=str(path.relative_to(SOURCE))):
                self.assertEqual(found_names, [])

    def test_no_other_package_imports_the_adapter(self) -> None:
        for path in self.list_modules():
            if ADAPTER in path.parents:
                continue
            with self.subTest(module=str(path.relative_to(SOURCE))):
                self.assertNotIn("yuccareach.platform", path.read_text())

    def test_adapter_imports_no_decision_modules(self) -> None:
        for path in ADAPTER.glob("*.py"):
            imported_modules = {
                node.module
                for node in ast.walk(ast.parse(path.read_text()))
                if isinstance(node, ast.ImportFrom)
            }
            with self.subTest(module=path.name):
                self.assertEqual(imported_modules & DECISION_MODULES, set())
