"""Checks of chains, the sequences of stages that run all layers of a model."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccareach.route.errors import ChainGap

if TYPE_CHECKING:
    from collections.abc import Sequence

    from yuccareach.proto import data_pb2 as pb


def check_tiling(chain: Sequence[pb.Stage], layers: int) -> None:
    """Raise ChainGap unless the stages cover layers [0, layers) in order, each once."""
    next_layer = 0
    for stage in chain:
        if stage.first_layer != next_layer or stage.end_layer <= stage.first_layer:
            raise ChainGap(
                f"stage {stage.backend_server} holds layers [{stage.first_layer}, "
                f"{stage.end_layer}), expected a non-empty range from {next_layer}"
            )
        next_layer = stage.end_layer
    if next_layer != layers or not chain:
        raise ChainGap(f"chain ends at layer {next_layer}, expected {layers}")


__all__ = ["check_tiling"]
