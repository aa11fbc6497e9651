"""A small fleet and its model, as tests of decisions need them."""

from __future__ import annotations

from yuccareach.gateway.backends import Announced, Backend
from yuccareach.gateway.table import AcceleratorKind, ModelProfile

MODEL = ModelProfile(
    name="m",
    layers=80,
    layer_mb=1750.0,
    token_layer_mb=0.02295,
    step_ms=1.02,
    step_ms_per_request=0.01428,
    step_ms_per_kilotoken=0.01912,
    prefill_tokens_per_s=105_000.0,
    slots=96,
    load_s=14.0,
    max_concurrent_loads=5,
    typical_prompt_tokens=774,
    typical_answer_tokens=200,
    accelerator_by_kind={
        "a100": AcceleratorKind("a100", 72_000.0, 2.4, 3.2),
        "l40s": AcceleratorKind("l40s", 43_200.0, 5.6, 2.7),
        "l4": AcceleratorKind("l4", 21_600.0, 16.0, 8.2),
    },
    delay_ms_by_zones={
        frozenset(pair): 0.75 for pair in (("z1", "z2"), ("z1", "z3"), ("z2", "z3"))
    },
    activation_bytes=91_800.0,
    zone_link_mbps=26_000.0,
)


def backend(
    name: str, zone: str, kind: str, first: int, end: int, *, started: int = 1
) -> Backend:
    port = 1000 + sum(name.encode())
    return Backend(
        Announced(
            name,
            f"{name}@{started}",
            f"127.0.0.1:{port}",
            zone,
            "s",
            kind,
            first,
            end,
            False,
        )
    )


def two_zones() -> list[Backend]:
    """A whole pipeline in each of two zones, with other boundaries."""
    return [
        backend("a1", "z1", "a100", 0, 29),
        backend("a2", "z1", "l40s", 29, 46),
        backend("a3", "z1", "l40s", 46, 63),
        backend("a4", "z1", "l40s", 63, 80),
        backend("b1", "z2", "a100", 0, 31),
        backend("b2", "z2", "a100", 31, 62),
        backend("b3", "z2", "l40s", 62, 80),
    ]
