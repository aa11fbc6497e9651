"""Time models of five kinds of accelerator."""

from __future__ import annotations

from typing import NamedTuple

from yuccareach.standin.errors import UnknownKind


class Kind(NamedTuple):
    """How long one batch takes, and how much fits.

    A batch over n layers takes n * (layer_us + positions * position_us).
    """

    name: str
    layer_us: float
    position_us: float
    max_batch: int
    kv_capacity_tokens: int
    memory_layers: int

    def batch_seconds(self, layers: int, positions: int) -> float:
        """Return the time that one batch takes."""
        return layers * (self.layer_us + positions * self.position_us) / 1e6

    def decode_rate(self, layers: int) -> float:
        """Return positions per second at a full batch."""
        return self.max_batch / self.batch_seconds(layers, self.max_batch)


KIND_BY_NAME = {
    kind.name: kind
    for kind in (
        Kind("a100", 110.0, 6.0, 64, 400_000, 32),
        Kind("l40s", 180.0, 10.0, 48, 200_000, 24),
        Kind("a10", 300.0, 18.0, 32, 100_000, 16),
        Kind("t4", 600.0, 40.0, 16, 50_000, 12),
        Kind("cpu", 1500.0, 120.0, 8, 20_000, 8),
    )
}


def find_kind(name: str) -> Kind:
    """Return a kind, or raise UnknownKind listing the known ones."""
    if name not in KIND_BY_NAME:
        known = ", ".join(sorted(KIND_BY_NAME))
        raise UnknownKind(f"unknown kind {name!r}, known are {known}")
    return KIND_BY_NAME[name]


__all__ = ["KIND_BY_NAME", "Kind", "find_kind"]
