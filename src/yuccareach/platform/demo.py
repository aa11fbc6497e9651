"""The platform-demo command: control, a gateway and stand-in runners in one process."""

from __future__ import annotations

import asyncio
import socket
import tempfile
from pathlib import Path
from typing import Any

import click
import yaml

from yuccareach.platform.run_control import PlatformControl
from yuccareach.platform.run_gateway import build_gateway
from yuccareach.platform.settings import ProcessSettings, load_settings
from yuccareach.platform.standin import Group, Runner, put_document
from yuccareach.runtime import logs

HOST = "127.0.0.1"
LAYER_COUNT = 80
ACCELERATOR_KINDS = ("a100", "l40s", "l40s", "l40s", "l4")
ZONES = ("zone-1", "zone-2")
API_KEY = "demo-key"
READY_TIMEOUT_S = 30
CHECK_INTERVAL_S = 0.1


def _find_free_port() -> int:
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        port: int = probe.getsockname()[1]
        return port


def build_demo_document() -> dict[str, Any]:
    """Return a routing document with one model and one plain service."""
    route = {"host": "demo.example", "timeoutMs": 20_000, "targetLatencyMs": 500}
    draft = {"name": "draft", "pathPrefix": "/draft/", "kind": "stream"}
    claim = {"name": "claim", "pathPrefix": "/claim/", "kind": "unsafe"}
    return {
        "version": 1,
        "routes": [
            {**route, **draft, "service": "model", "streamResume": True},
            {**route, **claim, "service": "claims"},
        ],
        "services": [
            {"name": "model", "engine": build_demo_engine()},
            {"name": "claims"},
        ],
        "tenants": [{"name": "demo", "apiKeys": [API_KEY]}],
    }


def build_demo_engine() -> dict[str, Any]:
    """Return the `engine` field of a service: a model and its accelerators."""
    return {
        "slots": 96,
        "kvTokenBytes": 1_836_000,
        "models": [{"name": "demo", "loadS": 0.0}],
        "step_ms": 1.02,
        "per_seq_ms": 0.014,
        "context_per_k": 0.019,
        "read_per_s": 105_000.0,
        "loads_at_once": 5,
        "usual": {"prompt": 100, "answer": 20},
        "layers": LAYER_COUNT,
        "layerMb": 1750.0,
        "kinds": [
            {"name": "a100", "sizeMb": 72_000.0, "pace": 2.4, "readFactor": 3.2},
            {"name": "l40s", "sizeMb": 43_200.0, "pace": 5.6, "readFactor": 2.7},
            {"name": "l4", "sizeMb": 21_600.0, "pace": 16.0, "readFactor": 8.2},
        ],
    }


def _write_settings(folder: Path, name: str, **ports: int) -> Path:
    listen = {role: f"{HOST}:{number}" for role, number in ports.items()}
    content = {
        "nodeId": name,
        "zone": ZONES[0],
        "ip": HOST,
        "listen": listen,
        "internalPorts": [ports["peer"], ports["peer"] + 1],
        "seeds": [listen["control"]],
        "bootstrap": True,
        "dataDir": str(folder / name),
        "heartbeatMs": 200,
    }
    path = folder / f"{name}.yaml"
    path.write_text(yaml.safe_dump(content))
    return path


def _write_and_load_settings(
    folder: Path, port: int
) -> tuple[ProcessSettings, ProcessSettings]:
    """Return the settings of the control instance and of the gateway."""
    ports = {
        "control": _find_free_port(),
        "peer": _find_free_port(),
        "ready": _find_free_port(),
    }
    control_path = _write_settings(folder, "control-1", front=port, **ports)
    gateway_path = _write_settings(folder, "gateway-1", front=port, **ports)
    loaded = load_settings(control_path), load_settings(gateway_path)
    return loaded[0], loaded[1]._replace(metrics_port=_find_free_port())


async def _serve(port: int, folder: Path) -> None:
    control_settings, gateway_settings = _write_and_load_settings(folder, port)
    control = PlatformControl(control_settings)
    await control.start()
    gateway = build_gateway(gateway_settings)
    await gateway.start()
    address = control_settings.operators_address
    heartbeat_tasks = [
        asyncio.create_task(runner.send_heartbeats([address]))
        for runner in await _start_runners()
    ]
    while await put_document(address, build_demo_document()) != 200:
        await asyncio.sleep(CHECK_INTERVAL_S)
    async with asyncio.timeout(READY_TIMEOUT_S):
        while not _has_all_layers(gateway):
            await asyncio.sleep(CHECK_INTERVAL_S)
    click.echo(f"serving on {HOST}:{port}, control on {address}; key {API_KEY}")
    await asyncio.gather(*heartbeat_tasks)


async def _start_runners() -> list[Runner]:
    group = Group(LAYER_COUNT)
    runners = [
        Runner(group, f"{zone}-{kind}-{number}", "model", zone, kind)
        for zone in ZONES
        for number, kind in enumerate(ACCELERATOR_KINDS)
    ]
    runners.append(Runner(group, "claims-1", "claims", ZONES[0]))
    for runner in runners:
        await runner.start()
    return runners


def _has_all_layers(gateway: Any) -> bool:
    """Return whether the gateway knows a runner that holds each layer of the model."""
    loaded_layers = {
        layer
        for backend in gateway.gateway.fleet.backend_by_name.values()
        for layer in range(
            backend.announcement.first_layer, backend.announcement.end_layer
        )
    }
    return len(loaded_layers) == LAYER_COUNT


@click.command()
@click.option("--port", default=8080, show_default=True, help="Port for callers.")
def demo(port: int) -> None:
    """Run control, a gateway and stand-in runners until interrupted."""
    logs.configure("warning", "demo")
    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(_serve(port, Path(folder)))


__all__ = ["build_demo_engine", "demo"]
