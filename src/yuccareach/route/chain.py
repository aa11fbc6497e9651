"""Chains: backend servers whose layer ranges tile a model."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccareach.route.errors import ChainGap

if TYPE_CHECKING:
    from collections.abc import Sequence

    from yuccareach.proto import data_pb2 as pb


def check_tiling(chain: Sequence[pb.Stage], layers: int) -> None:
    """Raise ChainGap unless the chain covers layers [0, layers) once, in order."""
    expected = 0
    for stage in chain:
        if stage.first_layer != expected or stage.end_layer <= stage.first_layer:
            raise ChainGap(
                f"{stage.backend_server} holds [{stage.first_layer}, "
                f"{stage.end_layer}), layer {expected} comes next"
            )
        expected = stage.end_layer
    if expected != layers or not chain:
        raise ChainGap(f"chain ends at layer {expected} of {layers}")


__all__ = ["check_tiling"]
