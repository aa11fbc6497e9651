"""The YAML settings file that the platform writes for each control and gateway.

Fields carry the platform's names; a comment says what a field holds if its name
misleads.
"""

from __future__ import annotations

import os
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec
import yaml

from yuccareach.buffers.limits import (
    DEFAULT_MEMORY_MB,
    derive_limits,
    find_descriptor_limit,
)
from yuccareach.gateway.budget import RetryBudgetLimits
from yuccareach.platform.errors import InvalidProcessSettings
from yuccareach.runtime.addresses import parse_host_port
from yuccareach.runtime.links import SILENCE_DETECTION_MS

if TYPE_CHECKING:
    from pathlib import Path

    from yuccareach.buffers.account import BufferLimits

SETTINGS_VARIABLE = "YUCCAREACH_CONFIG"


class _Listen(msgspec.Struct):
    # Addresses for callers, for readiness checks, and for operators and heartbeats.
    front: str = ""
    ready: str = ""
    control: str = ""


class _Limits(msgspec.Struct):
    # Descriptors and memory, in units of 1,000,000 bytes, that the process may use.
    # Without a number of descriptors, the operating system's limit applies.
    maxFds: int | None = None
    memoryMb: float = DEFAULT_MEMORY_MB


class _FaultTolerance(msgspec.Struct):
    # Control instances that may be lost at the same time.
    machines: int = 0


class _Bounds(msgspec.Struct):
    # Time to finish work in flight after a request to shut down.
    graceS: float = 8.0
    # Time within which every gateway must refuse a revoked key.
    revokeMs: int = 5_000
    # Time within which instances are in contact again after their connections have
    # failed.
    contactMs: float = 3_000
    # Limits of the retry budget: retries per request, retries per window beyond that.
    budgetRatio: float = 0.2
    budgetWindowS: float = 10.0
    budgetSlack: float = 0.0


class _SettingsFile(msgspec.Struct):
    nodeId: str
    zone: str
    ip: str
    listen: _Listen
    # First and last port of a range: the first is for gRPC between processes of this
    # project, the last for the gateway's metrics.
    internalPorts: list[int]
    # Operator addresses (`listen.control`) of control instances. If `bootstrap` is
    # set, the first one starts the cluster.
    seeds: list[str]
    bootstrap: bool = False
    # Without a folder, control keeps its state in memory and never votes.
    dataDir: str | None = None
    heartbeatMs: int = 1_200
    limits: _Limits = msgspec.field(default_factory=_Limits)
    faultTolerance: _FaultTolerance = msgspec.field(default_factory=_FaultTolerance)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)


# The file's type, and the item types of the lists whose items the check command checks
# one by one, to find the errors of all.
SETTINGS_SCHEMA: tuple[Any, dict[str, Any]] = (
    _SettingsFile,
    {"internalPorts": int, "seeds": str},
)


class ProcessSettings(NamedTuple):
    """The settings of a process under the names that this project uses."""

    instance: str
    zone: str
    host: str
    callers_address: str
    readiness_address: str
    operators_address: str
    # For gRPC between control instances, and from gateways to control. The port is the
    # same on every instance.
    peer_port: int
    metrics_port: int
    # gRPC addresses of the control instances to contact first.
    control_peers: tuple[str, ...]
    # Whether this instance starts the cluster if its data folder is empty.
    should_bootstrap: bool
    # Empty if there is no persistent folder.
    data_folder: str
    # Interval at which runners send heartbeats.
    heartbeat_ms: int
    # Control instances that may be lost while the others keep a quorum.
    max_lost_instances: int
    # Time to finish work in flight after a request to shut down.
    grace_s: float
    # Time within which every gateway must refuse a revoked key.
    revocation_ms: int
    budget: RetryBudgetLimits
    # Limits of what all connections together hold.
    buffers: BufferLimits


def find_settings_path() -> Path:
    """Return the settings file's path from the environment variable.

    Raises InvalidProcessSettings if the variable is not set.
    """
    from pathlib import Path

    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise InvalidProcessSettings(
            f"{SETTINGS_VARIABLE} is not set, expected the path of the settings file"
        )
    return Path(path)


def load_settings(path: Path) -> ProcessSettings:
    """Read and check a settings file.

    Raises InvalidProcessSettings, whose text is one line.
    """
    try:
        decoded = yaml.load(path.read_bytes(), Loader=_select_loader())
        file = msgspec.convert(decoded, _SettingsFile)
    except OSError as error:
        raise InvalidProcessSettings(
            f"{path}: cannot be read: {error.strerror}"
        ) from error
    except (yaml.YAMLError, msgspec.ValidationError, UnicodeDecodeError) as error:
        reason = " ".join(str(error).split())
        raise InvalidProcessSettings(f"{path}: {reason}") from error
    return _convert_settings(path, file)


def _select_loader() -> Any:
    """Return the YAML loader written in C, or the one in Python if it is missing."""
    return getattr(yaml, "CSafeLoader", yaml.SafeLoader)


def find_settings_errors(decoded: Any) -> list[str]:
    """Return every invalid value of a file whose fields have the right types.

    A bound that cannot be kept is among them. A process starts with it all the same,
    since it serves better without that bound than not at all.
    """
    file = msgspec.convert(decoded, _SettingsFile)
    return _find_value_errors(file) + _find_bound_errors(file)


def _find_bound_errors(file: _SettingsFile) -> list[str]:
    if file.bounds.contactMs >= SILENCE_DETECTION_MS:
        return []
    return [
        f"bounds.contactMs is {file.bounds.contactMs:g}, but a connection that "
        f"falls silent is given up only after {SILENCE_DETECTION_MS} ms"
    ]


def _find_value_errors(file: _SettingsFile) -> list[str]:
    errors = []
    ports = file.internalPorts
    if len(ports) != 2 or ports[0] >= ports[1]:
        errors.append(f"internalPorts is {ports}, expected two ports, the lower first")
    errors += [
        f"limits.{name} is {value}, expected a positive number"
        for name, value in msgspec.structs.asdict(file.limits).items()
        if value is not None and value <= 0
    ]
    if not file.seeds:
        errors.append("seeds is empty, expected at least one HOST:PORT")
    addresses = [("seeds", seed, False) for seed in file.seeds]
    addresses += [
        (f"listen.{name}", value, True)
        for name, value in msgspec.structs.asdict(file.listen).items()
        if value
    ]
    for field, address, is_listener in addresses:
        try:
            parse_host_port(address, may_be_any_port=is_listener)
        except ValueError as error:
            errors.append(f"{field}: {error}")
    return errors


def _convert_settings(path: Path, file: _SettingsFile) -> ProcessSettings:
    errors = _find_value_errors(file)
    if errors:
        raise InvalidProcessSettings(f"{path}: {'; '.join(errors)}")
    peer_port, metrics_port = file.internalPorts
    descriptor_limit = find_descriptor_limit()
    max_fds = min(file.limits.maxFds or descriptor_limit, descriptor_limit)
    return ProcessSettings(
        instance=file.nodeId,
        zone=file.zone,
        host=file.ip,
        callers_address=file.listen.front,
        readiness_address=file.listen.ready,
        operators_address=file.listen.control,
        peer_port=peer_port,
        metrics_port=metrics_port,
        control_peers=tuple(
            f"{seed.rpartition(':')[0]}:{peer_port}" for seed in file.seeds
        ),
        should_bootstrap=file.bootstrap and file.listen.control == file.seeds[0],
        data_folder=file.dataDir or "",
        heartbeat_ms=file.heartbeatMs,
        max_lost_instances=file.faultTolerance.machines,
        grace_s=file.bounds.graceS,
        revocation_ms=file.bounds.revokeMs,
        budget=RetryBudgetLimits(
            file.bounds.budgetRatio, file.bounds.budgetSlack, file.bounds.budgetWindowS
        ),
        buffers=derive_limits(int(file.limits.memoryMb), max_fds),
    )


__all__ = [
    "SETTINGS_SCHEMA",
    "SETTINGS_VARIABLE",
    "ProcessSettings",
    "find_settings_errors",
    "find_settings_path",
    "load_settings",
]
