"""The platform's path in one process, against stand-ins."""

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
LAYERS = 80
KINDS = ("a100", "l40s", "l40s", "l40s", "l4")
ZONES = ("zone-1", "zone-2")
KEY = "demo-key"
READY_TIMEOUT_S = 30
CHECK_INTERVAL_S = 0.1


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        port: int = probe.getsockname()[1]
        return port


def demo_document() -> dict[str, Any]:
    """Return a configuration with one model and one plain service."""
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
        "tenants": [{"name": "demo", "apiKeys": [KEY]}],
    }


def build_demo_engine() -> dict[str, Any]:
    """Return what the configuration says of a model's runners."""
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
        "layers": LAYERS,
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


def _settings(folder: Path, port: int) -> tuple[ProcessSettings, ProcessSettings]:
    ports = {"control": _free_port(), "peer": _free_port(), "ready": _free_port()}
    control = _write_settings(folder, "control-1", front=port, **ports)
    gateway = _write_settings(folder, "gateway-1", front=port, **ports)
    loaded = load_settings(control), load_settings(gateway)
    return loaded[0], loaded[1]._replace(metrics_port=_free_port())


async def _serve(port: int, folder: Path) -> None:
    control_settings, gateway_settings = _settings(folder, port)
    control = PlatformControl(control_settings)
    await control.start()
    gateway = build_gateway(gateway_settings)
    await gateway.start()
    address = control_settings.operators_address
    heartbeat_task = [
        asyncio.create_task(runner.send_heartbeats([address]))
        for runner in await _start_runners()
    ]
    while await put_document(address, demo_document()) != 200:
        await asyncio.sleep(CHECK_INTERVAL_S)
    async with asyncio.timeout(READY_TIMEOUT_S):
        while not _placed(gateway):
            await asyncio.sleep(CHECK_INTERVAL_S)
    click.echo(f"serving on {HOST}:{port}, control on {address}; key {KEY}")
    await asyncio.gather(*heartbeat_task)


async def _start_runners() -> list[Runner]:
    group = Group(LAYERS)
    runners = [
        Runner(group, f"{zone}-{kind}-{number}", "model", zone, kind)
        for zone in ZONES
        for number, kind in enumerate(KINDS)
    ]
    runners.append(Runner(group, "claims-1", "claims", ZONES[0]))
    for runner in runners:
        await runner.start()
    return runners


def _placed(gateway: Any) -> bool:
    """Return whether the gateway knows a holder for each layer of the model."""
    held = {
        layer
        for backend in gateway.gateway.fleet.backend_by_name.values()
        for layer in range(
            backend.announcement.first_layer, backend.announcement.end_layer
        )
    }
    return len(held) == LAYERS


@click.command()
@click.option("--port", default=8080, show_default=True, help="Callers' port.")
def demo(port: int) -> None:
    """Serve the platform's path with stand-in runners until interrupted."""
    logs.configure("warning", "demo")
    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(_serve(port, Path(folder)))


__all__ = ["demo", "build_demo_engine"]
