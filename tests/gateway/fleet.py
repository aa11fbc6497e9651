"""A small fleet and its model, for tests that need backend servers."""

from __future__ import annotations

from yuccareach.gateway.backends import Announcement, Backend
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


def build_backend(
    name: str,
    zone: str,
    kind: str,
    first_layer: int,
    end_layer: int,
    *,
    incarnation_number: int = 1,
) -> Backend:
    port = 1000 + sum(name.encode())
    return Backend(
        Announcement(
            name,
            f"{name}@{incarnation_number}",
            f"127.0.0.1:{port}",
            zone,
            "s",
            kind,
            first_layer,
            end_layer,
            False,
        )
    )


def build_two_zones() -> list[Backend]:
    """Return a complete pipeline in each of two zones, with different boundaries."""
    return [
        build_backend("a1", "z1", "a100", 0, 29),
        build_backend("a2", "z1", "l40s", 29, 46),
        build_backend("a3", "z1", "l40s", 46, 63),
        build_backend("a4", "z1", "l40s", 63, 80),
        build_backend("b1", "z2", "a100", 0, 31),
        build_backend("b2", "z2", "a100", 31, 62),
        build_backend("b3", "z2", "l40s", 62, 80),
    ]
