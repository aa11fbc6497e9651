"""Comparison of two routing tables, which never shows a key."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

from yuccareach.gateway.table import RouteKind
from yuccareach.settings.table_checks import Finding

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from yuccareach.gateway.table import Route, RoutingTable


def compare_tables(
    old: RoutingTable, new: RoutingTable, get_term: Callable[[str], str]
) -> list[Finding]:
    """Return the entries that a new table adds, removes and changes."""
    # A name that two routes of either table share does not tell which one changed.
    shared_names = _find_shared_names(old) | _find_shared_names(new)
    old_entries = _list_entries(old, shared_names, get_term)
    new_entries = _list_entries(new, shared_names, get_term)
    differences = []
    for entry, old_fields in old_entries.items():
        if entry not in new_entries:
            differences.append(Finding(entry, "removed"))
            continue
        new_fields = new_entries[entry]
        differences += [
            Finding(entry, f"{field}: {_show(old_fields, field)} -> {new_text}")
            for field in {**old_fields, **new_fields}
            if (new_text := _show(new_fields, field)) != _show(old_fields, field)
        ]
    differences += [
        Finding(entry, "added") for entry in new_entries if entry not in old_entries
    ]
    return differences + _compare_keys(old, new, get_term)


def _show(text_by_field: dict[str, str], field: str) -> str:
    return text_by_field.get(field, "none")


def _list_routes(table: RoutingTable) -> list[Route]:
    return [route for routes in table.routes_by_host.values() for route in routes]


def _find_shared_names(table: RoutingTable) -> set[str]:
    counts = Counter(route.name for route in _list_routes(table))
    return {name for name, count in counts.items() if count > 1}


def _list_entries(
    table: RoutingTable, shared_names: set[str], get_term: Callable[[str], str]
) -> dict[str, dict[str, str]]:
    """Return the fields of each entry as text, without the keys of workspaces."""
    workspace_term = get_term("workspace")
    values: dict[str, Any] = {
        f"{workspace_term} {workspace.name}": workspace
        for workspace in table.workspaces
    }
    values |= {f"service {name}": item for name, item in table.service_by_name.items()}
    for route in _list_routes(table):
        place = f" ({route.host}{route.path_prefix})"
        suffix = place if route.name in shared_names else ""
        values[f"route {route.name}{suffix}"] = route
    values["limits"] = table.limits
    return {
        entry: dict(_list_fields(value, "", get_term))
        for entry, value in values.items()
    }


def _list_fields(
    value: Any, path: str, get_term: Callable[[str], str]
) -> Iterator[tuple[str, str]]:
    """Yield the path and the text of each field below a value."""
    items: dict[str, Any]
    if hasattr(value, "_asdict"):
        items = {get_term(name): item for name, item in value._asdict().items()}
    elif isinstance(value, dict):
        items = {_show_key(key): item for key, item in value.items()}
    elif isinstance(value, tuple):
        yield path, ", ".join(f"{item.service} {item.weight}" for item in value)
        return
    else:
        yield path, _show_value(value, get_term)
        return
    for name, item in items.items():
        yield from _list_fields(item, f"{path}.{name}".lstrip("."), get_term)


def _show_value(value: Any, get_term: Callable[[str], str]) -> str:
    if isinstance(value, RouteKind):
        return get_term(value)
    if value is None or isinstance(value, bool):
        return "none" if value is None else str(value).lower()
    return repr(value)


def _show_key(key: str | frozenset[str]) -> str:
    return key if isinstance(key, str) else "-".join(sorted(key))


def _compare_keys(
    old: RoutingTable, new: RoutingTable, get_term: Callable[[str], str]
) -> list[Finding]:
    """Return how many keys of each workspace are added and removed."""
    entry = get_term("workspace")
    differences = []
    names = dict.fromkeys(item.name for item in (*old.workspaces, *new.workspaces))
    for name in names:
        old_keys, new_keys = _list_keys(old, name), _list_keys(new, name)
        added, removed = len(new_keys - old_keys), len(old_keys - new_keys)
        if added or removed:
            text = f"keys: {added} added, {removed} removed"
            differences.append(Finding(f"{entry} {name}", text))
    if old.requires_key != new.requires_key:
        text = "now need a key" if new.requires_key else "no longer need a key"
        differences.append(Finding("routes", f"requests {text}"))
    return differences


def _list_keys(table: RoutingTable, workspace: str) -> set[str]:
    return {
        key for key, item in table.workspace_by_key.items() if item.name == workspace
    }


__all__ = ["compare_tables"]
