"""Timing and capacity models of five kinds of accelerator."""

from __future__ import annotations

from typing import NamedTuple

from yuccareach.standin.errors import UnknownKind


class AcceleratorKind(NamedTuple):
    """The timing and the capacity of one kind of accelerator.

    A batch over n layers takes n * (layer_us + positions * position_us) microseconds.
    memory_layers is how many layers fit into memory, max_batch how many steps run at
    once, and kv_capacity_tokens how many positions of KV state fit.
    """

    name: str
    layer_us: float
    position_us: float
    max_batch: int
    kv_capacity_tokens: int
    memory_layers: int

    def compute_batch_seconds(self, layers: int, positions: int) -> float:
        """Return the time in seconds that one batch takes."""
        return layers * (self.layer_us + positions * self.position_us) / 1e6

    def compute_decode_rate(self, layers: int) -> float:
        """Return the positions per second that full batches reach."""
        return self.max_batch / self.compute_batch_seconds(layers, self.max_batch)


KIND_BY_NAME = {
    kind.name: kind
    for kind in (
        AcceleratorKind("a100", 110.0, 6.0, 64, 400_000, 32),
        AcceleratorKind("l40s", 180.0, 10.0, 48, 200_000, 24),
        AcceleratorKind("a10", 300.0, 18.0, 32, 100_000, 16),
        AcceleratorKind("t4", 600.0, 40.0, 16, 50_000, 12),
        AcceleratorKind("cpu", 1500.0, 120.0, 8, 20_000, 8),
    )
}


def find_kind(name: str) -> AcceleratorKind:
    """Return the kind of a name, or raise UnknownKind with the known names."""
    if name not in KIND_BY_NAME:
        known_names = ", ".join(sorted(KIND_BY_NAME))
        raise UnknownKind(
            f"unknown accelerator kind {name!r}; known kinds are {known_names}"
        )
    return KIND_BY_NAME[name]


__all__ = ["KIND_BY_NAME", "AcceleratorKind", "find_kind"]
