"""The settings file that the platform places for a process."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec
import yaml

from yuccareach.gateway.budget import RetryBudgetLimits
from yuccareach.platform.errors import InvalidProcessSettings

if TYPE_CHECKING:
    from pathlib import Path

SETTINGS_VARIABLE = "YUCCAREACH_CONFIG"


class _Listen(msgspec.Struct):
    front: str = ""
    ready: str = ""
    control: str = ""


class _Limits(msgspec.Struct):
    maxFds: int = 1024


class _Tolerance(msgspec.Struct):
    machines: int = 0


class _Bounds(msgspec.Struct):
    graceS: float = 8.0
    revokeMs: int = 5_000
    budgetRatio: float = 0.2
    budgetWindowS: float = 10.0
    budgetSlack: float = 0.0


class _File(msgspec.Struct):
    nodeId: str
    zone: str
    ip: str
    listen: _Listen
    internalPorts: list[int]
    seeds: list[str]
    bootstrap: bool = False
    dataDir: str | None = None
    heartbeatMs: int = 1_200
    limits: _Limits = msgspec.field(default_factory=_Limits)
    faultTolerance: _Tolerance = msgspec.field(default_factory=_Tolerance)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)


# The file's shape, and the lists whose entries are checked one by one.
SETTINGS_PARTS: tuple[Any, dict[str, Any]] = (
    _File,
    {"internalPorts": int, "seeds": str},
)


class ProcessSettings(NamedTuple):
    """What the platform tells a process, in our words."""

    instance: str
    zone: str
    host: str
    callers_address: str
    readiness_address: str
    operators_address: str
    # The first of the ports between our own processes; the same on every instance.
    peer_port: int
    metrics_port: int
    # gRPC addresses of control instances to start from.
    control_peers: tuple[str, ...]
    # Whether this instance starts the cluster, if its disk is empty.
    bootstraps: bool
    data_folder: str
    heartbeat_ms: int
    lost_instances_borne: int
    grace_s: float
    revocation_ms: int
    budget: RetryBudgetLimits


def settings_path() -> Path:
    """Return where the settings file lies, or raise InvalidProcessSettings."""
    from pathlib import Path

    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise InvalidProcessSettings(f"{SETTINGS_VARIABLE} is not set")
    return Path(path)


def load_settings(path: Path) -> ProcessSettings:
    """Read and check a settings file, or raise InvalidProcessSettings."""
    try:
        decoded = yaml.load(path.read_bytes(), Loader=_loader())
        file = msgspec.convert(decoded, _File)
    except OSError as error:
        raise InvalidProcessSettings(f"{path}: {error.strerror}") from error
    except (yaml.YAMLError, msgspec.ValidationError, UnicodeDecodeError) as error:
        reason = " ".join(str(error).split())
        raise InvalidProcessSettings(f"{path}: {reason}") from error
    return _convert(path, file)


def _loader() -> Any:
    return getattr(yaml, "CSafeLoader", yaml.SafeLoader)


def find_settings_faults(decoded: Any) -> list[str]:
    """Return every reason for which a file of the right shape cannot be used."""
    return _faults(msgspec.convert(decoded, _File))


def _faults(file: _File) -> list[str]:
    faults = []
    ports = file.internalPorts
    if len(ports) != 2 or ports[0] >= ports[1]:
        faults.append("internalPorts must be two rising ports")
    if not file.seeds:
        faults.append("seeds is empty")
    addresses = [("seeds", seed) for seed in file.seeds]
    addresses += [
        (f"listen.{name}", value)
        for name, value in msgspec.structs.asdict(file.listen).items()
        if value
    ]
    for place, address in addresses:
        host, _, port = address.rpartition(":")
        if not host or not port.isdigit():
            faults.append(f"{place}: {address} is no HOST:PORT")
    return faults


def _convert(path: Path, file: _File) -> ProcessSettings:
    faults = _faults(file)
    if faults:
        raise InvalidProcessSettings(f"{path}: {'; '.join(faults)}")
    peer_port, last_port = file.internalPorts
    return ProcessSettings(
        instance=file.nodeId,
        zone=file.zone,
        host=file.ip,
        callers_address=file.listen.front,
        readiness_address=file.listen.ready,
        operators_address=file.listen.control,
        peer_port=peer_port,
        metrics_port=last_port,
        control_peers=tuple(
            f"{seed.rpartition(':')[0]}:{peer_port}" for seed in file.seeds
        ),
        bootstraps=file.bootstrap and file.listen.control == file.seeds[0],
        data_folder=file.dataDir or "",
        heartbeat_ms=file.heartbeatMs,
        lost_instances_borne=file.faultTolerance.machines,
        grace_s=file.bounds.graceS,
        revocation_ms=file.bounds.revokeMs,
        budget=RetryBudgetLimits(
            file.bounds.budgetRatio, file.bounds.budgetSlack, file.bounds.budgetWindowS
        ),
    )


__all__ = [
    "SETTINGS_PARTS",
    "SETTINGS_VARIABLE",
    "ProcessSettings",
    "find_settings_faults",
    "load_settings",
    "settings_path",
]
