"""The yuccareach plan command."""

from __future__ import annotations

from pathlib import Path
from typing import Any, NotRequired, TypedDict

import click
import msgspec

from yuccareach.cli.options import CONTEXT_SETTINGS, report_errors
from yuccareach.errors import UsageError
from yuccareach.route.placement import Engine, LinkRates, make_plan


class EngineDeclaration(TypedDict):
    """Engines of one accelerator kind in one availability zone.

    layer_rate is how many layers times positions an engine runs per second, and
    memory_layers how many layers fit into its memory.
    """

    kind: str
    availability_zone: str
    layer_rate: float
    memory_layers: int
    count: NotRequired[int]


class LinkDeclaration(TypedDict):
    """Bandwidth of the link from one availability zone to another."""

    source: str
    target: str
    bytes_per_s: float


class FleetDeclaration(TypedDict):
    """The fleet to plan for; activation_bytes is the size of one activation."""

    layers: int
    activation_bytes: NotRequired[int]
    engines: list[EngineDeclaration]
    links: NotRequired[list[LinkDeclaration]]


def load_fleet(path: Path) -> FleetDeclaration:
    """Read a fleet from YAML or TOML, or raise UsageError that names the error."""
    parse = msgspec.toml.decode if path.suffix == ".toml" else msgspec.yaml.decode
    try:
        fleet: FleetDeclaration = parse(path.read_bytes(), type=FleetDeclaration)
    except OSError as error:
        raise UsageError(f"{path}: {error.strerror}") from error
    except (msgspec.MsgspecError, ValueError) as error:
        raise UsageError(f"{path}: {error}") from error
    return fleet


def list_engines(fleet: FleetDeclaration) -> list[Engine]:
    """Return every engine of a fleet, named by kind, availability zone and number."""
    return [
        Engine(
            f"{item['kind']}-{item['availability_zone']}-{number}",
            item["availability_zone"],
            item["layer_rate"],
            item["memory_layers"],
        )
        for item in fleet["engines"]
        for number in range(item.get("count", 1))
    ]


def compute_link_rates(fleet: FleetDeclaration) -> LinkRates:
    """Return the bandwidth of each link in tokens per second."""
    activation_bytes = fleet.get("activation_bytes", 16_384)
    links: list[Any] = list(fleet.get("links", []))
    return {
        (link["source"], link["target"]): link["bytes_per_s"] / activation_bytes
        for link in links
    }


@click.command(context_settings=CONTEXT_SETTINGS)
@click.argument("file", type=click.Path(dir_okay=False, path_type=Path))
@click.option("--seed", type=int, default=0, help="Seed of the search.")
@report_errors
def plan(file: Path, seed: int) -> None:
    """Plan which engine of the fleet in FILE should hold which layers.

    The bound is the throughput that no placement can exceed, in tokens per second.
    """
    fleet = load_fleet(file)
    placement_plan = make_plan(
        list_engines(fleet), fleet["layers"], compute_link_rates(fleet), seed=seed
    )
    placed_engines = sorted(
        placement_plan.placement, key=lambda item: (item.first_layer, item.engine.name)
    )
    for placed in placed_engines:
        click.echo(
            f"[{placed.first_layer}, {placed.end_layer})  {placed.engine.name}  "
            f"{placed.token_rate:.1f} tokens/s"
        )
    click.echo(
        f"flow {placement_plan.flow:.1f} tokens/s, bound {placement_plan.bound:.1f}, "
        f"{placement_plan.flow / placement_plan.bound:.1%}"
    )
    click.echo(f"bottleneck: {placement_plan.bottleneck}")


__all__ = ["plan"]
