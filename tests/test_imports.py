"""Test that the imports between modules form no cycle, and that scripts can start."""

from __future__ import annotations

import ast
import graphlib
import importlib
import unittest
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

SOURCE = Path("src")
SCRIPTS = Path("bench")


def get_module_name(path: Path) -> str:
    """Return the dotted module name of a source file."""
    parts = path.relative_to(SOURCE).with_suffix("").parts
    return ".".join(parts).removesuffix(".__init__")


def find_imported_names(node: ast.AST) -> Iterator[str]:
    """Yield the names that a module imports at run time.

    Imports under TYPE_CHECKING, which serve annotations alone, are left out.
    """
    for child in ast.iter_child_nodes(node):
        test = getattr(child, "test", None)
        if isinstance(child, ast.If) and getattr(test, "id", "") == "TYPE_CHECKING":
            continue
        if isinstance(child, ast.ImportFrom) and child.module:
            yield child.module
            yield from (f"{child.module}.{alias.name}" for alias in child.names)
        yield from find_imported_names(child)


class ImportTests(unittest.TestCase):
    def test_no_module_imports_itself_indirectly(self) -> None:
        paths = [path for path in SOURCE.rglob("*.py") if "_pb2" not in path.name]
        names = {get_module_name(path) for path in paths}
        graph = {
            get_module_name(path): names
            & set(find_imported_names(ast.parse(path.read_text())))
            - {get_module_name(path)}
            for path in paths
        }
        self.assertGreater(sum(map(len, graph.values())), len(paths))
        # Raises CycleError, which names the modules of the cycle.
        list(graphlib.TopologicalSorter(graph).static_order())

    def test_script_does_not_import_a_name_that_has_moved(self) -> None:
        for path in SCRIPTS.rglob("*.py"):
            with self.subTest(path=path):
                importlib.import_module(".".join(path.with_suffix("").parts))
