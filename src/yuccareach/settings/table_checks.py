"""Checks of a valid routing table: entries never matched, and contradictory limits.

Entries, fields and route kinds are named as in the file that the operator wrote:
get_term returns its term for a name of the routing table.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, NamedTuple

from yuccareach.gateway.table import RouteKind

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from yuccareach.gateway.table import Limits, Route, RoutingTable

# The gateway compares the host without its port, and knows no wildcards.
_NOT_IN_HOSTS = ":*/ "
# "Host", a colon, a space and two line ends; the gateway's count of a header's bytes.
_HOST_HEADER_BYTES = 8
# The gateway decodes paths as Latin-1, after it has removed the query.
_NOT_IN_PATHS = re.compile(r"[^!-\xff]|\?")


class Finding(NamedTuple):
    """What a check found, and the entry that it concerns."""

    entry: str
    message: str


def find_table_warnings(
    table: RoutingTable, get_term: Callable[[str], str]
) -> list[Finding]:
    """Return the entries that never match, and the limits that contradict others."""
    warnings = []
    for routes in table.routes_by_host.values():
        for route in routes:
            entry = f"route {route.name}"
            problems = (
                *_find_unmatched(route, routes, table, get_term),
                *_find_route_contradictions(route, table.limits, get_term),
            )
            warnings += [Finding(entry, problem) for problem in problems]
    used_services = {
        weight.service
        for routes in table.routes_by_host.values()
        for route in routes
        for weight in route.services
    }
    warnings += [
        Finding(f"service {name}", "no route uses it")
        for name in table.service_by_name
        if name not in used_services
    ]
    used_workspaces = {workspace.name for workspace in table.workspace_by_key.values()}
    entry = get_term("workspace")
    warnings += [
        Finding(f"{entry} {workspace.name}", "has no key, so no request belongs to it")
        for workspace in table.workspaces
        if workspace.name not in used_workspaces
    ]
    warnings += [
        Finding("limits", problem)
        for problem in _find_limit_contradictions(table.limits, get_term)
    ]
    return warnings


def _find_unmatched(
    route: Route,
    routes: tuple[Route, ...],
    table: RoutingTable,
    get_term: Callable[[str], str],
) -> Iterator[str]:
    """Yield why no request is served by a route, or by one of its services."""
    host, prefix = route.host, route.path_prefix
    if not host or any(character in host for character in _NOT_IN_HOSTS):
        yield f"host {host!r} never matches, expected a name without port or wildcard"
    prefix_text = f"{get_term('path_prefix')} {prefix!r} never matches"
    if prefix and not prefix.startswith("/"):
        yield f"{prefix_text}, paths start with '/'"
    elif _NOT_IN_PATHS.search(prefix):
        yield f"{prefix_text}, paths have no '?', no space and nothing above U+00FF"
    # A path that equals a prefix is never taken by another route. No path is empty, and
    # only those of OPTIONS * and of proxy requests do not start with a slash.
    taking_route = next((other for other in routes if other.path_prefix == "/"), None)
    if not prefix and taking_route is not None:
        yield f"every path that starts with '/' is taken by route {taking_route.name}"
    if table.requires_key and not route.is_public and not table.workspace_by_key:
        yield "needs a key, and none is declared"
    for weight in route.services:
        if weight.weight == 0:
            yield f"service {weight.service} has weight 0 and gets no request"


def _find_route_contradictions(
    route: Route, limits: Limits, get_term: Callable[[str], str]
) -> Iterator[str]:
    objective = f"{get_term('objective_ms')} {route.objective_ms}"
    gap_objective = f"{get_term('gap_objective_ms')} {route.gap_objective_ms}"
    timeout = f"{get_term('timeout_ms')} {route.timeout_ms}"
    if route.objective_ms > route.timeout_ms:
        yield f"{objective} is longer than {timeout}"
    if route.objective_ms <= 0:
        yield f"{objective} cannot be met, expected at least 1"
    if route.gap_objective_ms > route.timeout_ms:
        yield f"{gap_objective} is longer than {timeout}"
    if route.gap_objective_ms and route.kind is not RouteKind.STREAM:
        yield f"{gap_objective} has no effect on a route of kind {get_term(route.kind)}"
    shortest_bytes = _HOST_HEADER_BYTES + len(route.host) + len(route.path_prefix)
    if shortest_bytes > limits.max_header_bytes:
        limit = f"{get_term('max_header_bytes')} is {limits.max_header_bytes}"
        yield f"its shortest header has {shortest_bytes} bytes, {limit}"


def _find_limit_contradictions(
    limits: Limits, get_term: Callable[[str], str]
) -> Iterator[str]:
    header_timeout = f"{get_term('header_timeout_ms')} {limits.header_timeout_ms}"
    idle_timeout = f"{get_term('idle_timeout_ms')} {limits.idle_timeout_ms}"
    if limits.max_body_bytes < 0:
        text = f"{get_term('max_body_bytes')} {limits.max_body_bytes}"
        yield f"{text} admits no request, expected at least 0"
    if limits.header_timeout_ms <= 0:
        yield f"{header_timeout} leaves no time, expected at least 1"
    if limits.idle_timeout_ms <= 0:
        yield f"{idle_timeout} leaves no time, expected at least 1"
    if limits.header_timeout_ms > limits.idle_timeout_ms:
        yield f"{header_timeout} is longer than {idle_timeout}"


__all__ = ["Finding", "find_table_warnings"]
