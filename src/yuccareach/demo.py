"""A complete small system in one process, for demonstration and tests."""

from __future__ import annotations

import asyncio
import signal
import tempfile
from contextlib import asynccontextmanager
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

import aiohttp
import click

from yuccareach.agent.http import build_agent_app
from yuccareach.agent.run import AgentOptions, AgentProcess
from yuccareach.cli.apply import put_team
from yuccareach.cli.operator_client import OperatorClient, require_success
from yuccareach.control.options import ControlOptions
from yuccareach.control.run import ControlProcess
from yuccareach.entry.http import build_entry_app
from yuccareach.entry.run import EntryProcess, EntryProcessOptions
from yuccareach.load.client import Target, Verdict, request_completion
from yuccareach.settings.store import hash_key
from yuccareach.standin.engine import EngineOptions
from yuccareach.standin.run import EngineProcess, ServiceProcess

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from yuccareach.runtime.process import ProcessLifecycle

PIPELINE = "drafting"
LAYERS = 24
KEY = "demo-key-of-the-landlords-workspace"
TOKEN = "demo-operator-token"
READY_TIMEOUT_S = 20.0
AVAILABILITY_ZONES = ("windhoek-1", "windhoek-2", "windhoek-3")


class EngineSpec(NamedTuple):
    """The kind of accelerator and the layers [first_layer, end_layer) of an engine."""

    kind: str
    first_layer: int
    end_layer: int


DEFAULT_ENGINES = (
    EngineSpec("a100", 0, 12),
    EngineSpec("l40s", 0, 12),
    EngineSpec("l40s", 12, 24),
    EngineSpec("a10", 12, 18),
    EngineSpec("a10", 18, 24),
)
SETTINGS: dict[str, Any] = {
    "kalahari": {
        "pipelines": {PIPELINE: {"layers": LAYERS, "max_tokens": 1024}},
        "services": {
            "ledger": {
                "routes": [
                    {"method": "GET", "path": "/balances/*", "idempotent": True},
                    {"method": "GET", "path": "/executions", "idempotent": True},
                    {"method": "POST", "path": "/payouts", "idempotent": False},
                ]
            }
        },
        "classes": {"interactive": {"priority": 20, "deadline_ms": 60_000}},
        "workspaces": {
            "landlords": {"key_sha256": [hash_key(KEY)], "class": "interactive"}
        },
    }
}


class Fleet(NamedTuple):
    """The running processes of a small system."""

    control: list[ControlProcess]
    entries: list[EntryProcess]
    agents: list[AgentProcess]
    engines: list[EngineProcess]
    services: list[ServiceProcess]

    @property
    def url(self) -> str:
        """Base URL of the first entry."""
        return f"http://{self.entries[0].http.address}"

    @property
    def operator(self) -> OperatorClient:
        """A client of control with the platform operator's token."""
        addresses = tuple(control.http.address for control in self.control)
        return OperatorClient(addresses, TOKEN)

    @property
    def target(self) -> Target:
        """The target of a load client: first entry, key and pipeline."""
        return Target(self.url, KEY, PIPELINE, LAYERS)


@asynccontextmanager
async def start_small_fleet(
    folder: Path,
    *,
    port: int = 0,
    entries: int = 1,
    engines: tuple[EngineSpec, ...] = DEFAULT_ENGINES,
    services: int = 1,
    speed: float = 1.0,
    resume: bool = True,
) -> AsyncIterator[Fleet]:
    """Start control, entries, agents, engines and services on this event loop.

    Yields the fleet once every entry is ready to serve, and stops it at the end. speed
    multiplies the speed of the stand-in engines.
    """
    running_processes: list[ProcessLifecycle] = []

    async def _start(process: Any) -> Any:
        await process.start()
        running_processes.append(process)
        return process

    fleet = Fleet([], [], [], [], [])
    try:
        control = await _start(
            ControlProcess(
                ControlOptions(
                    "control-1",
                    AVAILABILITY_ZONES[0],
                    folder / "control-1",
                    bootstrap=True,
                    platform_token_sha256=hash_key(TOKEN),
                )
            )
        )
        fleet.control.append(control)
        for number, engine_spec in enumerate(engines):
            engine = await _start(_build_engine(engine_spec, number, speed))
            fleet.engines.append(engine)
            agent = _build_agent(
                f"engine-{number}", number, control, engine=engine.address
            )
            fleet.agents.append(await _start(agent))
        for number in range(services):
            service = await _start(ServiceProcess("127.0.0.1", 0, 0))
            fleet.services.append(service)
            url = f"http://{service.http.address}"
            agent = _build_agent(
                f"ledger-{number}", number, control, service="ledger", service_url=url
            )
            fleet.agents.append(await _start(agent))
        for number in range(entries):
            options = EntryProcessOptions(
                f"entry-{number}",
                AVAILABILITY_ZONES[number % len(AVAILABILITY_ZONES)],
                (control.address,),
                port=port,
                resume=resume,
            )
            fleet.entries.append(await _start(EntryProcess(options, build_entry_app)))
        for team, document in SETTINGS.items():
            require_success(await put_team(fleet.operator, team, document, 0))
        await _wait_until_ready(fleet)
        yield fleet
    finally:
        await asyncio.gather(*(process.stop() for process in running_processes))


def _build_engine(engine_spec: EngineSpec, number: int, speed: float) -> EngineProcess:
    options = EngineOptions(
        PIPELINE,
        LAYERS,
        engine_spec.first_layer,
        engine_spec.end_layer,
        engine_spec.kind,
        speed,
        seed=number,
    )
    return EngineProcess(options, "127.0.0.1", 0, 0)


def _build_agent(
    name: str,
    number: int,
    control: ControlProcess,
    engine: str = "",
    service: str = "",
    service_url: str = "",
) -> AgentProcess:
    availability_zone = AVAILABILITY_ZONES[number % len(AVAILABILITY_ZONES)]
    addresses = (control.address,)
    return AgentProcess(
        AgentOptions(name, availability_zone, addresses, engine, service, service_url),
        build_agent_app,
    )


async def _wait_until_ready(fleet: Fleet) -> None:
    """Wait until every entry has settings and knows all backend servers."""

    def _is_ready(entry: EntryProcess) -> bool:
        knows_all_servers = len(entry.state.server_by_name) == len(fleet.agents)
        return knows_all_servers and entry.state.settings.revision > 0

    async with asyncio.timeout(READY_TIMEOUT_S):
        while not all(map(_is_ready, fleet.entries)):
            await asyncio.sleep(0.02)


async def run_demo() -> bool:
    """Send requests, check the answers and return whether all checks passed."""
    with tempfile.TemporaryDirectory() as folder:
        async with (
            start_small_fleet(Path(folder)) as fleet,
            aiohttp.ClientSession() as http,
        ):
            passed = await _check_answers(fleet, http)
            passed = await _check_payout(fleet, http) and passed
    click.echo("all checks passed" if passed else "some checks FAILED")
    return passed


async def _check_answers(fleet: Fleet, http: aiohttp.ClientSession) -> bool:
    """Send all requests at once and check each answer against the expected one."""
    prompts = [
        f"Explain arrears number {number} to the landlord." for number in range(8)
    ]
    results = await asyncio.gather(
        *(request_completion(http, fleet.target, prompt, 16) for prompt in prompts)
    )
    for prompt, result in zip(prompts, results):
        first_ms = result.first_token_s * 1000
        click.echo(
            f"{prompt}  {result.tokens} tokens, first after {first_ms:.0f} ms: "
            f"{result.verdict}"
        )
    return all(result.verdict is Verdict.RIGHT for result in results)


async def _check_payout(fleet: Fleet, http: aiohttp.ClientSession) -> bool:
    """Send a payout twice with the same key and check that it ran once."""
    url = f"{fleet.url}/v1/services/ledger/payouts"
    headers = {"Authorization": f"Bearer {KEY}", "Idempotency-Key": "claim-17"}
    body = {"account": "landlord-9", "amount": 1250}
    replies = []
    for _ in range(2):
        async with http.post(url, json=body, headers=headers) as response:
            replies.append((response.status, await response.json()))
            replayed = response.headers.get("Yuccareach-Replayed", "false")
            click.echo(f"payout claim-17: {response.status}, replayed {replayed}")
    execution_count = sum(
        item.ledger.executions_by_key["claim-17"] for item in fleet.services
    )
    click.echo(f"payout claim-17 ran {execution_count} time(s)")
    return execution_count == 1 and replies[0] == replies[1] and replies[0][0] == 201


async def serve_demo(port: int) -> None:
    """Serve until SIGINT or SIGTERM, then finish the requests in flight."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signal_number, stop_requested.set)
    with tempfile.TemporaryDirectory() as folder:
        async with start_small_fleet(Path(folder), port=port) as fleet:
            click.echo(f"serving on {fleet.url}, key {KEY}")
            click.echo(
                f"curl -N {fleet.url}/v1/chat/completions "
                f"-H 'Authorization: Bearer {KEY}' "
                f'-d \'{{"model": "{PIPELINE}", "stream": true, '
                '"messages": [{"role": "user", "content": "hello"}]}\''
            )
            await stop_requested.wait()
            await asyncio.gather(*(entry.drain() for entry in fleet.entries))
    click.echo("stopped")


__all__ = ["EngineSpec", "Fleet", "run_demo", "serve_demo", "start_small_fleet"]
