"""The deploy file: which of this project's processes run on which instances."""

from __future__ import annotations

import importlib.util
import itertools
import math
from typing import Any

import msgspec

# What the platform's callers can ask of a role.
SERVED_CALLERS = frozenset({"front", "side", "control", "outbound", "inbound"})
MAX_ROLES_PER_INSTANCE = 2


class DeployRole(msgspec.Struct, forbid_unknown_fields=True):
    """A process and the instances of each availability zone that run it."""

    run: str
    on: str
    serves: list[str] = []
    # Either a share of the instances of a class in each zone, rounded up, or a count.
    share: float | None = None
    count: int | None = None
    # Whether instances are taken from the end of the zone's order, not from its start.
    apart: bool = False
    metrics: str = ""
    template: str = ""
    env: dict[str, str] = {}

    def count_instances(self, zone_instances: int) -> int:
        """Return on how many of a zone's instances of its class this role runs."""
        if "front" in self.serves:
            # The platform runs the role that takes callers' requests on all of them.
            return zone_instances
        if self.count is not None:
            return min(self.count, zone_instances)
        return math.ceil((self.share or 0.0) * zone_instances)


class DeployFile(msgspec.Struct, forbid_unknown_fields=True):
    """The content of the deploy file."""

    build: str
    roles: dict[str, DeployRole]
    packages: list[str] = []


def find_deploy_errors(decoded: Any) -> list[str]:
    """Return every error of a decoded deploy file."""
    if not isinstance(decoded, dict) or not isinstance(decoded.get("roles"), dict):
        return ["expected a table [roles.NAME] for each process"]
    errors = []
    role_by_name: dict[str, DeployRole] = {}
    for name, role in decoded["roles"].items():
        try:
            role_by_name[name] = msgspec.convert(role, DeployRole)
        except msgspec.ValidationError as error:
            errors.append(f"roles.{name}: {error}")
    try:
        msgspec.convert({**decoded, "roles": {}}, DeployFile)
    except msgspec.ValidationError as error:
        errors.append(str(error))
    for name, item in role_by_name.items():
        errors += [f"roles.{name}: {text}" for text in _find_role_errors(item)]
    return errors + _find_conflicts(role_by_name)


def _find_role_errors(role: DeployRole) -> list[str]:
    errors = []
    words = role.run.split()
    if words[:2] == ["python3", "-m"] and len(words) > 2:
        if not _has_module(words[2]):
            errors.append(f"run: there is no module {words[2]}")
    elif not words:
        errors.append("run is empty")
    if (role.share is None) == (role.count is None):
        errors.append("expected either share or count")
    if role.share is not None and not 0 < role.share <= 1:
        errors.append(f"share is {role.share}, expected more than 0 and at most 1")
    if role.count is not None and role.count < 1:
        errors.append(f"count is {role.count}, expected at least 1")
    unknown = sorted(set(role.serves) - SERVED_CALLERS)
    return errors + [f"serves: unknown caller {caller}" for caller in unknown]


def _has_module(name: str) -> bool:
    try:
        return importlib.util.find_spec(name) is not None
    except ModuleNotFoundError:
        return False


def _find_conflicts(role_by_name: dict[str, DeployRole]) -> list[str]:
    """Return what roles on the same class of instances may not have in common."""
    errors = [
        f"roles.{one} and roles.{other} both serve {caller} on {first.on}"
        for (one, first), (other, second) in itertools.combinations(
            role_by_name.items(), 2
        )
        if first.on == second.on
        for caller in sorted(set(first.serves) & set(second.serves))
    ]
    classes = [role.on for role in role_by_name.values()]
    errors += [
        f"{classes.count(name)} roles on {name}, at most {MAX_ROLES_PER_INSTANCE} run "
        "on an instance"
        for name in sorted(set(classes))
        if classes.count(name) > MAX_ROLES_PER_INSTANCE
    ]
    return errors


__all__ = ["DeployFile", "DeployRole", "find_deploy_errors"]
