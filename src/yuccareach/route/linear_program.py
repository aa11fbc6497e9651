"""A small linear program, solved by the HiGHS library."""

from __future__ import annotations

import contextlib
import os
from typing import TYPE_CHECKING

import highspy

if TYPE_CHECKING:
    from collections.abc import Iterator


@contextlib.contextmanager
def _no_banner() -> Iterator[None]:
    """Keep the banner that the library writes in C away from standard output."""
    kept = os.dup(1)
    nothing = os.open(os.devnull, os.O_WRONLY)
    try:
        os.dup2(nothing, 1)
        yield
    finally:
        os.dup2(kept, 1)
        os.close(kept)
        os.close(nothing)


class Program:
    """Variables from 0 up, constraints, and an objective to maximise."""

    def __init__(self) -> None:
        with _no_banner():
            self.solver = highspy.Highs()
        self.solver.silent()
        self.count = 0

    def variable(self, upper: float = highspy.kHighsInf, objective: float = 0.0) -> int:
        """Add a variable and return its number."""
        self.solver.addVar(0.0, upper)
        if objective:
            self.solver.changeColCost(self.count, objective)
        self.count += 1
        return self.count - 1

    def at_most(self, terms: dict[int, float], limit: float) -> None:
        """Keep a sum at or below a limit."""
        self._row(-highspy.kHighsInf, limit, terms)

    def equal(self, terms: dict[int, float], value: float) -> None:
        """Keep a sum at a value."""
        self._row(value, value, terms)

    def _row(self, lower: float, upper: float, terms: dict[int, float]) -> None:
        self.solver.addRow(lower, upper, len(terms), list(terms), list(terms.values()))

    def maximum(self) -> float:
        """Solve and return the largest objective."""
        self.solver.changeObjectiveSense(highspy.ObjSense.kMaximize)
        self.solver.run()
        return float(self.solver.getObjectiveValue())

    def value(self, variable: int) -> float:
        """Return a variable's value in the solution."""
        return float(self.solver.getSolution().col_value[variable])


__all__ = ["Program"]
