"""Linear programs, solved by the HiGHS library."""

from __future__ import annotations

import contextlib
import os
from typing import TYPE_CHECKING

import highspy

if TYPE_CHECKING:
    from collections.abc import Iterator


@contextlib.contextmanager
def _suppress_banner() -> Iterator[None]:
    """Redirect standard output to the null device while HiGHS prints its banner.

    The library prints it from C code, which only a redirected descriptor can stop.
    """
    saved_stdout = os.dup(1)
    null_device = os.open(os.devnull, os.O_WRONLY)
    try:
        os.dup2(null_device, 1)
        yield
    finally:
        os.dup2(saved_stdout, 1)
        os.close(saved_stdout)
        os.close(null_device)


class LinearProgram:
    """Nonnegative variables, linear constraints, and an objective to maximise."""

    def __init__(self) -> None:
        with _suppress_banner():
            self.solver = highspy.Highs()
        self.solver.silent()
        self.variable_count = 0

    def add_variable(
        self, upper: float = highspy.kHighsInf, objective: float = 0.0
    ) -> int:
        """Add a variable with bounds [0, upper] and return its index.

        The objective is the variable's coefficient in the objective function.
        """
        self.solver.addVar(0.0, upper)
        if objective:
            self.solver.changeColCost(self.variable_count, objective)
        self.variable_count += 1
        return self.variable_count - 1

    def add_upper_limit(self, terms: dict[int, float], limit: float) -> None:
        """Add the constraint that a weighted sum of variables is at most a limit.

        Terms give the coefficient of each variable.
        """
        self._add_row(-highspy.kHighsInf, limit, terms)

    def add_equality(self, terms: dict[int, float], value: float) -> None:
        """Add the constraint that a weighted sum of variables equals a value."""
        self._add_row(value, value, terms)

    def _add_row(self, lower: float, upper: float, terms: dict[int, float]) -> None:
        self.solver.addRow(lower, upper, len(terms), list(terms), list(terms.values()))

    def maximise(self) -> float:
        """Solve the program and return the largest value of the objective."""
        self.solver.changeObjectiveSense(highspy.ObjSense.kMaximize)
        self.solver.run()
        return float(self.solver.getObjectiveValue())

    def get_value(self, variable: int) -> float:
        """Return the value of a variable in the solution."""
        return float(self.solver.getSolution().col_value[variable])


__all__ = ["LinearProgram"]
