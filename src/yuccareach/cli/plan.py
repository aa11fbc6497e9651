"""yuccareach plan."""

from __future__ import annotations

from pathlib import Path
from typing import Any, NotRequired, TypedDict

import click
import msgspec

from yuccareach.cli.options import CONTEXT_SETTINGS, report_errors
from yuccareach.errors import UsageError
from yuccareach.route.placement import Engine, LinkRates, make_plan


class EngineDeclaration(TypedDict):
    """Engines of one kind in one availability zone."""

    kind: str
    availability_zone: str
    layer_rate: float
    memory_layers: int
    count: NotRequired[int]


class LinkDeclaration(TypedDict):
    """What the link between two availability zones carries one way."""

    source: str
    target: str
    bytes_per_s: float


class FleetDeclaration(TypedDict):
    """Engines and links to plan for."""

    layers: int
    activation_bytes: NotRequired[int]
    engines: list[EngineDeclaration]
    links: NotRequired[list[LinkDeclaration]]


def load_fleet(path: Path) -> FleetDeclaration:
    """Read a fleet from YAML or TOML, or raise UsageError naming the fault."""
    decode = msgspec.toml.decode if path.suffix == ".toml" else msgspec.yaml.decode
    try:
        fleet: FleetDeclaration = decode(path.read_bytes(), type=FleetDeclaration)
    except OSError as error:
        raise UsageError(f"{path}: {error.strerror}") from error
    except (msgspec.MsgspecError, ValueError) as error:
        raise UsageError(f"{path}: {error}") from error
    return fleet


def list_engines(fleet: FleetDeclaration) -> list[Engine]:
    """Return every engine of a fleet, named by kind, zone and number."""
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
    """Return what each link carries, in tokens per second."""
    size = fleet.get("activation_bytes", 16_384)
    links: list[Any] = list(fleet.get("links", []))
    return {
        (link["source"], link["target"]): link["bytes_per_s"] / size for link in links
    }


@click.command(context_settings=CONTEXT_SETTINGS)
@click.argument("file", type=click.Path(dir_okay=False, path_type=Path))
@click.option("--seed", type=int, default=0, help="Seed of the search.")
@report_errors
def plan(file: Path, seed: int) -> None:
    """Show which engine should hold which layers, from the fleet in FILE.

    The bound is what no placement can exceed, in tokens per second.
    """
    fleet = load_fleet(file)
    found = make_plan(
        list_engines(fleet), fleet["layers"], compute_link_rates(fleet), seed=seed
    )
    ordered = sorted(
        found.placement, key=lambda item: (item.first_layer, item.engine.name)
    )
    for item in ordered:
        click.echo(
            f"[{item.first_layer}, {item.end_layer})  {item.engine.name}  "
            f"{item.token_rate:.1f} tokens/s"
        )
    click.echo(
        f"flow {found.flow:.1f} tokens/s, bound {found.bound:.1f}, "
        f"{found.flow / found.bound:.1%}"
    )
    click.echo(f"bottleneck: {found.bottleneck}")


__all__ = ["plan"]
