"""Make docs/CAPACITY.md and its plots from the rows that slopes.py measured."""

from __future__ import annotations

import json
import statistics
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

import matplotlib

from yuccareach.gateway.limit_rechecks import REPORT_SPACING_S
from yuccareach.quarantine.parts import MIN_ACCUSING_SERVERS

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402

if TYPE_CHECKING:
    from collections.abc import Iterator

DATA_PATH = Path("docs/capacity/slopes.json")
GATEWAY_DATA_PATH = Path("docs/capacity/gateway.json")
LOSSES_DATA_PATH = Path("docs/capacity/losses.json")
LIMITS_PATH = Path("docs/capacity/limits.json")
PAGE_PATH = Path("docs/CAPACITY.md")
PLOTS_FOLDER = Path("docs/capacity")
MAX_FIT_ERROR = 0.2

# Sizes and limits of the two-year target.
NODE_COUNT = 370
# Polls of a gateway a second while limits of backend servers hold requests back.
LIMIT_POLLS_PER_S = 4
LIMITED_SERVERS_PER_GATEWAY = (2, 10, 40)
LIMITED_SHARE = 0.7
RUNNER_COUNT = 3_300
REQUESTS_PER_S = 1_500.0
TOKENS_PER_S = 550_000.0
MAX_FIRST_TOKEN_MS = 520.0
MAX_BETWEEN_TOKENS_MS = 38.0
WORKSPACE_COUNT = 15_000
MODEL_COUNT = 16
CHANGES_PER_DAY = 7_900.0
MAX_IN_FORCE_S = 19.0
MAX_NODE_CORE_SHARE = 0.012
MAX_NODE_MIB = 128.0
MAX_NODE_BYTES_PER_S = 21_000.0
CONTROL_COUNT = 10
FAILURES_PER_DAY = 58
REPLACEMENTS_PER_DAY = 290

# Assumed values that cannot be measured on one machine.
STAGE_COUNT = 4
ZONE_ONE_WAY_MS = 0.8
REGION_ONE_WAY_MS = 60.0
ENGINE_STEP_MS = 20.0
PREFILL_MS = 250.0
LOAD_BYTES_PER_S = 8_000.0
TEAM_DOCUMENT_BYTES = 5_000.0
ZONE_COUNT = 12
SECONDS_PER_DAY = 86_400.0
TOKENS_PER_EVENT = 4


class Fit(NamedTuple):
    """A straight line fitted to measured points.

    max_error is the largest distance of a point from the line, as a share of the
    largest value.
    """

    experiment: str
    value: str
    slope: float
    intercept: float
    max_error: float
    point_count: int

    def predict(self, x: float) -> float:
        """Return the value of the line at x."""
        return self.intercept + self.slope * x

    @property
    def is_good(self) -> bool:
        """Whether every point lies near the line."""
        return self.max_error <= MAX_FIT_ERROR


class TargetRow(NamedTuple):
    """One row of the table of targets, met if computed_value is at most max_value."""

    target: str
    max_value: float
    computed_value: float
    unit: str
    source: str
    mechanism: str
    first_bottleneck: str
    missing: str


def fit_line(
    data: dict[str, Any], experiment: str, value: str, x_column: str = "x"
) -> Fit:
    """Fit a line to one measured value of an experiment, by another column."""
    rows = data[experiment]
    xs = [float(row[x_column]) for row in rows]
    ys = [float(row[value]) for row in rows]
    line = statistics.linear_regression(xs, ys)
    scale = max(map(abs, ys)) or 1.0
    max_error = max(
        abs(y - line.intercept - line.slope * x) / scale for x, y in zip(xs, ys)
    )
    return Fit(experiment, value, line.slope, line.intercept, max_error, len(rows))


def compute_fits(data: dict[str, Any]) -> dict[str, Fit]:
    """Return every fit of the page, by the name that the page gives it."""
    columns_by_name = {
        "control per member": ("members", "control_core_share", "x"),
        "control memory per member": ("members", "control_resident_mib", "x"),
        "bytes per member": ("members", "loopback_bytes_per_s", "x"),
        "entry per member": ("members", "entry_core_share", "x"),
        "entry memory per member": ("members", "entry_resident_mib", "x"),
        "entry per model": ("models", "entry_core_share", "x"),
        "entry memory per model": ("models", "entry_resident_mib", "x"),
        "control per entry": ("entries", "control_core_share", "x"),
        "bytes per entry": ("entries", "loopback_bytes_per_s", "x"),
        "relay per member": ("relayed_members", "control1_core_share", "x"),
        "relay bytes per member": ("relayed_members", "loopback_bytes_per_s", "x"),
        "entry per token": ("tokens", "entry_core_share", "tokens_per_s"),
        "first agent per token": ("tokens", "first_agent_core_share", "tokens_per_s"),
        "last agent per token": ("tokens", "last_agent_core_share", "tokens_per_s"),
        "entry per request": ("requests", "entry_core_share", "requests_per_s"),
        "agent per request": ("requests", "first_agent_core_share", "requests_per_s"),
        "entry memory per stream": ("streams", "entry_resident_mib", "x"),
        "agent memory per stream": ("streams", "first_agent_resident_mib", "x"),
        "latency per stage": ("hops", "between_tokens_mean_ms", "x"),
        "first token per stage": ("hops", "first_token_p50_ms", "x"),
        "entry memory per workspace": ("workspaces", "entry_resident_mib", "x"),
        "agent memory per workspace": ("workspaces", "agent_resident_mib", "x"),
        "control memory per workspace": ("workspaces", "control_resident_mib", "x"),
        "in force by workspaces": ("workspaces", "in_force_s", "x"),
        "control per change": ("changes", "control_core_share", "x"),
        "entry per change": ("changes", "entry_core_share", "x"),
        "agent per change": ("changes", "agent_core_share", "x"),
        "bytes per change": ("changes", "loopback_bytes_per_s", "x"),
        "agents at rest": ("rest", "agents_core_share", "x"),
        "agents' memory at rest": ("rest", "agents_resident_mib", "x"),
        "bytes per agent at rest": ("rest", "loopback_bytes_per_s", "x"),
        "route choice": ("route_choice", "microseconds", "x"),
    }
    return {name: fit_line(data, *columns) for name, columns in columns_by_name.items()}


def compute_target_rows(fits: dict[str, Fit]) -> Iterator[TargetRow]:
    """Yield each target with the value that the fits predict for it."""
    changes_per_s = CHANGES_PER_DAY / SECONDS_PER_DAY
    members_per_control = RUNNER_COUNT / CONTROL_COUNT
    members_per_model = RUNNER_COUNT / MODEL_COUNT
    tokens_per_node = TOKENS_PER_S / NODE_COUNT
    requests_per_node = REQUESTS_PER_S / NODE_COUNT
    entry_cores = (
        fits["entry per token"].slope * tokens_per_node
        + fits["entry per request"].slope * requests_per_node
        + fits["route choice"].predict(members_per_model) / 1e6 * requests_per_node
    )
    yield TargetRow(
        "1,500 requests/s and 550,000 tokens/s over 370 nodes, taken as entries",
        1.0,
        entry_cores,
        "cores for each entry",
        "entry per token, entry per request, route choice",
        "frames that carry all tokens ready at one moment; one route choice a request",
        "the entry's JSON and HTTP per token",
        "one write to the caller for each token",
    )
    positions_per_s = TOKENS_PER_S * STAGE_COUNT / RUNNER_COUNT
    yield TargetRow(
        f"each token through {STAGE_COUNT} stages over 3,300 runners",
        1.0,
        max(fits["first agent per token"].slope, fits["last agent per token"].slope)
        * positions_per_s,
        "cores for each agent",
        "first agent per token, last agent per token",
        "agent-to-agent streams, batched for each wake-up",
        "the agent's work per hop, since few requests share a wake-up",
        "no batching window that waits for more hops",
    )
    between_tokens_ms = (
        ENGINE_STEP_MS
        + STAGE_COUNT * (fits["latency per stage"].slope + ZONE_ONE_WAY_MS)
        + fits["latency per stage"].intercept
    )
    yield TargetRow(
        f"38 ms between tokens at p95, {STAGE_COUNT} stages in one region",
        MAX_BETWEEN_TOKENS_MS,
        between_tokens_ms,
        "ms (mean; engines stated at 20 ms)",
        "latency per stage",
        "stages pass work on directly; the last returns the token to the first",
        "one link between regions in a chain costs 60 ms",
        "the entry prefers its own zone but does not know regions",
    )
    first_token_ms = (
        PREFILL_MS
        + fits["first token per stage"].predict(STAGE_COUNT)
        + (2 * ZONE_ONE_WAY_MS * STAGE_COUNT)
    )
    yield TargetRow(
        "first token at p95 within 0.52 s",
        MAX_FIRST_TOKEN_MS,
        first_token_ms,
        "ms (median; prefill stated at 250 ms)",
        "first token per stage",
        "route chosen from memory at the entry; the route is opened with the first hop",
        "queues at engines; entries bound what runs and refuse waits over 8 s",
        "measured at the median; prompts are not cut into parts that others can overtake",
    )
    idle_entry_cores = (
        fits["entry per member"].intercept
        + fits["entry per change"].slope * changes_per_s
    )
    yield TargetRow(
        "control at an entry: 1.2% of a core",
        MAX_NODE_CORE_SHARE,
        idle_entry_cores,
        "cores",
        "entry per member, entry per change",
        "load forwarded within 8,000 bytes/s for each watcher; ticks of 250 ms at rest",
        "changes of large teams, parsed anew at each entry",
        "deltas within a team's document",
    )
    yield TargetRow(
        "control at an agent: 1.2% of a core",
        MAX_NODE_CORE_SHARE,
        fits["agents at rest"].slope + fits["agent per change"].slope * changes_per_s,
        "cores",
        "agents at rest, agent per change",
        "one heartbeat a second on one stream",
        "keepalive pings and the settings watch",
        "agents take all settings though they need few",
    )
    yield TargetRow(
        "memory of an entry: 128 MB",
        MAX_NODE_MIB,
        fits["entry memory per workspace"].predict(WORKSPACE_COUNT)
        + fits["entry memory per member"].slope * RUNNER_COUNT
        + fits["entry memory per stream"].slope * tokens_per_node * 0.038,
        "MiB",
        "entry memory per workspace, per member, per stream",
        "typed settings in memory; histograms for the 200 workspaces seen last",
        "settings of 15,000 workspaces as Python objects",
        "settings fetched by interest",
    )
    yield TargetRow(
        "memory of an agent: 128 MB",
        MAX_NODE_MIB,
        fits["agent memory per workspace"].predict(WORKSPACE_COUNT),
        "MiB",
        "agent memory per workspace",
        "outputs kept for a refill are bounded by --retain-mib, on top of this",
        "settings of 15,000 workspaces as Python objects",
        "agents that keep settings as bytes alone",
    )
    yield TargetRow(
        "control traffic of an entry: 21 KB/s",
        MAX_NODE_BYTES_PER_S,
        LOAD_BYTES_PER_S
        + changes_per_s * TEAM_DOCUMENT_BYTES
        + fits["bytes per agent at rest"].slope,
        "bytes/s",
        "bytes per agent at rest; 8,000 bytes/s is the stated bound of load",
        "budget for forwarded load; deltas by team and by member",
        "a snapshot of everything after a reconnect",
        "snapshots are not paced",
    )
    yield TargetRow(
        "control traffic of an agent: 21 KB/s",
        MAX_NODE_BYTES_PER_S,
        fits["bytes per agent at rest"].slope + changes_per_s * TEAM_DOCUMENT_BYTES,
        "bytes/s",
        "bytes per agent at rest",
        "one heartbeat of about 200 bytes a second",
        "keepalive pings of idle streams",
        "heartbeats slower than their lease allows",
    )
    yield TargetRow(
        "at most 10 instances set aside",
        1.0,
        fits["control per member"].predict(members_per_control)
        + fits["control per entry"].slope * NODE_COUNT / CONTROL_COUNT
        + (fits["relay per member"].slope * RUNNER_COUNT)
        + fits["control per change"].slope * changes_per_s,
        "cores for each of 10",
        "control per member, control per entry, relay per member, control per change",
        "each agent announces to one instance; instances relay changes to each other",
        "relays, which every instance sends to every other",
        "relays by way of one instance in each zone",
    )
    yield TargetRow(
        "7,900 changes a day in force within 19 s",
        MAX_IN_FORCE_S,
        fits["in force by workspaces"].predict(WORKSPACE_COUNT)
        + 2 * REGION_ONE_WAY_MS / 1000 * 3,
        "s",
        "in force by workspaces",
        "one commit by a quorum, then pushes to every watcher, deltas by team",
        "a parted region, which catches up when the link is back",
        "measured with few processes, not with 3,670",
    )


def _format_verdict(row: TargetRow) -> str:
    share = row.computed_value / row.max_value
    return (
        f"meets it, {share:.0%} used" if share <= 1 else f"**misses it, {share:.0%}**"
    )


def render_page(data: dict[str, Any]) -> Iterator[str]:
    """Yield the lines of the page."""
    fits = compute_fits(data)
    yield "# Capacity at the two-year target"
    yield ""
    yield "This page is made by `make capacity` from `docs/capacity/slopes.json`, which"
    yield "`make bench-slopes` measures. Do not edit it by hand."
    yield ""
    yield "The target: 370 nodes before 3,300 runners on 3,300 accelerators, 1,500"
    yield "requests/s, 550,000 tokens/s, 15,000 workspaces, 16 models, 5 regions with 12"
    yield "availability zones, 7,900 settings changes a day."
    yield ""
    yield f"Measured on one machine ({data['machine']}) over loopback, with real"
    yield "processes and small stand-ins. Stated, not measured: "
    yield f"{STAGE_COUNT} stages in a chain, {ZONE_ONE_WAY_MS} ms one way between zones,"
    yield f"{REGION_ONE_WAY_MS:g} ms between regions, {ENGINE_STEP_MS:g} ms of engine time"
    yield f"for a token, {PREFILL_MS:g} ms for a prompt, {TEAM_DOCUMENT_BYTES:g} bytes for"
    yield "a team's settings. Every figure beyond the largest measured point is a line"
    yield "carried on, and is no better than that line."
    yield ""
    yield "## Targets"
    yield ""
    yield "| target | wanted | worked out | | from | mechanism | breaks first | lacks |"
    yield "| --- | --- | --- | --- | --- | --- | --- | --- |"
    for row in compute_target_rows(fits):
        yield (
            f"| {row.target} | ≤ {row.max_value:g} {row.unit} | "
            f"{row.computed_value:.4g} | "
            f"{_format_verdict(row)} | {row.source} | {row.mechanism} | "
            f"{row.first_bottleneck} | "
            f"{row.missing} |"
        )
    yield ""
    yield from _render_roles(fits)
    yield from _render_failures(fits)
    yield from _render_gateway()
    yield from _render_losses()
    yield from _render_limits()
    yield from _render_slopes(data, fits)


def _render_roles(fits: dict[str, Fit]) -> Iterator[str]:
    """Yield the lines on the state, messages and cost of each role."""
    changes_per_s = CHANGES_PER_DAY / SECONDS_PER_DAY
    yield "## Roles"
    yield ""
    yield "| role | state | messages | processor | memory |"
    yield "| --- | --- | --- | --- | --- |"
    yield (
        f"| entry (370) | settings of {WORKSPACE_COUNT} workspaces, {RUNNER_COUNT} "
        "members, its "
        f"open requests | {REQUESTS_PER_S / NODE_COUNT:.1f} requests/s, "
        f"{TOKENS_PER_S / NODE_COUNT:.0f} tokens/s, {changes_per_s:.2f} settings "
        "changes/s | "
        f"{fits['entry per token'].slope * 1e6:.0f} µs a token, "
        f"{fits['entry per request'].slope * 1e6:.0f} µs a request | "
        f"{fits['entry memory per workspace'].predict(WORKSPACE_COUNT):.0f} MiB with "
        "settings |"
    )
    yield (
        "| agent (3,300) | its attempts with kept outputs, finished calls, settings | "
        f"{TOKENS_PER_S * STAGE_COUNT / RUNNER_COUNT:.0f} positions/s, one heartbeat a "
        "second | "
        f"{fits['first agent per token'].slope * 1e6:.0f} µs a token at the first "
        "stage, "
        f"{fits['last agent per token'].slope * 1e6:.0f} µs at the last | "
        f"{fits['agent memory per workspace'].predict(WORKSPACE_COUNT):.0f} MiB with "
        "settings |"
    )
    yield (
        f"| control (10 set aside, 5 of them voters) | the log, members, watchers | "
        f"{RUNNER_COUNT / CONTROL_COUNT:.0f} heartbeats/s each, {changes_per_s:.2f} "
        "commits/s | "
        f"{fits['control per member'].slope * 1e6:.0f} µs a heartbeat, "
        f"{fits['control per change'].slope * 1e3:.1f} ms a change with 100 watchers | "
        f"{fits['control memory per workspace'].predict(WORKSPACE_COUNT):.0f} MiB with "
        "settings |"
    )
    yield ""


def _render_failures(fits: dict[str, Fit]) -> Iterator[str]:
    """Yield the lines on failures of instances, zones and regions."""
    members_per_zone = RUNNER_COUNT / ZONE_COUNT
    per_member = fits["bytes per member"].slope
    yield "## Failures"
    yield ""
    yield (
        f"- {FAILURES_PER_DAY} instances fail and {REPLACEMENTS_PER_DAY} are replaced "
        "on "
        f"a day: one membership change every "
        f"{SECONDS_PER_DAY / (FAILURES_PER_DAY + REPLACEMENTS_PER_DAY):.0f} s, next to "
        f"{RUNNER_COUNT} heartbeats a second. Found by the first failed hop, at the "
        "latest by "
        "a lease of 3 s."
    )
    yield (
        f"- A zone goes: {members_per_zone:.0f} members depart within their lease. "
        "Each "
        f"watcher gets {members_per_zone * 24:.0f} bytes of names once. When they come "
        f"back they announce themselves within a second, {members_per_zone * 100:.0f} "
        "bytes to each watcher."
    )
    yield (
        "- Regions part: entries keep the members and settings that they have and go "
        "on "
        "serving their callers; only the side with a quorum accepts settings and "
        "permits. Members on the other side are kept for 10 s after their control "
        "instance falls silent, and for as long as an instance hears no leader."
    )
    yield (
        f"- One flat level of membership costs each control instance "
        f"{per_member * RUNNER_COUNT / CONTROL_COUNT / 1000:.0f} KB/s from its own "
        "agents. Where "
        "a row above misses its target, the designs weighed are: relays by way of one "
        "instance in each zone; entries that subscribe to the models they serve; "
        "settings fetched by interest in place of all; log groups by workspace. The "
        "first two leave the protocols as they are and come first."
    )
    yield ""


def _render_gateway() -> Iterator[str]:
    """Yield the lines on the gateway, extrapolated from its measured costs."""
    cost = json.loads(GATEWAY_DATA_PATH.read_text(encoding="utf-8"))
    events_per_s = TOKENS_PER_S / TOKENS_PER_EVENT / NODE_COUNT
    requests_per_s = REQUESTS_PER_S / NODE_COUNT
    gateway_cores = (
        requests_per_s * cost["stream_ms"] + events_per_s * cost["event_ms"]
    ) / 1000
    leader_cores = cost["leader_core_share_per_gateway"] * NODE_COUNT
    yield "## The gateway on the users' platform"
    yield ""
    yield (
        f"A plain call costs {cost['call_ms']:.2f} ms of processor time, a stream "
        f"{cost['stream_ms']:.2f} ms and {cost['event_ms']:.3f} ms for each event "
        f"(`python -m bench.gateway`). At the target each of {NODE_COUNT} gateways has "
        f"{requests_per_s:.1f} streams/s and, with {TOKENS_PER_EVENT} tokens an event, "
        f"{events_per_s:.0f} events/s: {gateway_cores:.3f} of a core."
    )
    yield ""
    yield (
        f"Views cost the leader {cost['leader_core_share_per_gateway']:.4f} of a core "
        f"for each gateway at rest, a line through two points: {leader_cores:.2f} "
        "cores for "
        f"{NODE_COUNT}. "
        + (
            "That breaks first, since one process has one core. Followers would have "
            "to give views, confirmed by the leader in one round for all that wait."
            if leader_cores > 1
            else "The polls, which bound how old a view may be, take most of it."
        )
    )
    yield ""


def _render_losses() -> Iterator[str]:
    """Yield the lines on the counts of backend servers lost under a request."""
    cost = json.loads(LOSSES_DATA_PATH.read_text(encoding="utf-8"))
    request_s = TOKENS_PER_S / REQUESTS_PER_S * MAX_BETWEEN_TOKENS_MS / 1000
    requests_per_runner = REQUESTS_PER_S * request_s * STAGE_COUNT / RUNNER_COUNT
    # Each request that a lost runner was running is counted, and answered later.
    changes_per_crash = 2 * requests_per_runner
    zone_requests = requests_per_runner * RUNNER_COUNT / ZONE_COUNT
    zone_bytes = 2 * zone_requests * cost["bytes_in_view"]
    zone_leader_s = 2 * zone_requests * cost["send_us"] * NODE_COUNT / 1e6
    yield "## Counts of lost backend servers"
    yield ""
    yield "| what | for one change | a crash | a zone | the most that is kept |"
    yield "| --- | --- | --- | --- | --- |"
    yield (
        f"| to each entry or gateway | {cost['bytes_in_view']:.0f} bytes | "
        f"{changes_per_crash * cost['bytes_in_view'] / 1000:.1f} KB | "
        f"{zone_bytes / 1000:.0f} KB | "
        f"{cost['counts'] * cost['bytes_in_view'] / 1000:.0f} KB |"
    )
    yield (
        f"| in the log | {cost['bytes_in_log']:.0f} bytes | "
        f"{changes_per_crash * cost['bytes_in_log'] / 1000:.1f} KB | "
        f"{2 * zone_requests * cost['bytes_in_log'] / 1000:.0f} KB | snapshot: "
        f"{cost['counts'] * cost['bytes_in_snapshot'] / 1000:.0f} KB |"
    )
    yield (
        f"| leader, to {NODE_COUNT} of them | {cost['send_us']:.1f} µs each | "
        f"{changes_per_crash * cost['send_us'] * NODE_COUNT / 1000:.0f} ms | "
        f"{zone_leader_s:.0f} s of a core | |"
    )
    yield (
        f"| entry or gateway | {cost['merge_us']:.1f} µs | "
        f"{changes_per_crash * cost['merge_us'] / 1000:.2f} ms | "
        f"{2 * zone_requests * cost['merge_us'] / 1000:.0f} ms | |"
    )
    yield ""
    yield (
        f"Worked out from `python -m bench.losses` for {requests_per_runner:.0f} "
        "requests on each runner, all different; every one is counted once and reset "
        f"by its answer. {FAILURES_PER_DAY} instances fail on a day. At rest there is "
        "nothing to send. The loss of a zone breaks first: the leader encodes the same "
        "changes anew for each view. It sends at most 1,000 counts with a view, so that "
        "views stay short."
    )
    yield ""
    yield from _render_part_losses(cost["part"], cost["crash"])


def _render_part_losses(
    part: dict[str, float], crash: dict[str, float]
) -> Iterator[str]:
    """Yield the lines on the counts of prompt parts."""
    counted = crash["streams"] * crash["parts"]
    yield (
        f"A count of a prompt part that names {MIN_ACCUSING_SERVERS} lost servers takes "
        f"{part['bytes_in_view']:.0f} bytes in a view and {part['bytes_in_log']:.0f} in "
        f"the log, and {part['merge_us']:.1f} µs to merge. The most that one crash can "
        f"change, with {crash['streams']:.0f} streams that share none of their "
        f"{crash['parts']:.0f} parts and have not proven them, is {counted:.0f} counts of "
        f"parts beside those of the requests: {counted * part['bytes_in_view'] / 1000:.0f}"
        f" KB to each gateway, and as much when the parts are proven. Counting them takes "
        f"the gateway {crash['count_ms']:.0f} ms with a full table, of which it searches "
        "all for whom to accuse. Parts that streams share are counted once."
    )
    yield ""


def _render_limits() -> Iterator[str]:
    """Yield the lines on the limits that backend servers state."""
    cost = json.loads(LIMITS_PATH.read_text(encoding="utf-8"))
    yield "## Limits of backend servers"
    yield ""
    yield (
        "| limited servers that a gateway has demand for | gateway, each way | gateway | "
        "leader, each way | leader |"
    )
    yield "| --- | --- | --- | --- | --- |"
    for servers in LIMITED_SERVERS_PER_GATEWAY:
        reports_per_s = servers * LIMIT_POLLS_PER_S
        gateway_bytes = reports_per_s * cost["report_bytes"]
        yield (
            f"| {servers} | {gateway_bytes / 1000:.1f} KB/s | "
            f"{reports_per_s * cost['demand_us'] / 1e4:.2f}% of a core | "
            f"{gateway_bytes * NODE_COUNT / 1000:.0f} KB/s | "
            f"{reports_per_s * cost['report_us'] * NODE_COUNT / 1e6:.2f} cores |"
        )
    yield ""
    limited = LIMITED_SHARE * RUNNER_COUNT
    yield (
        f"Worked out from `python -m bench.limits` for {NODE_COUNT} gateways that poll "
        f"{LIMIT_POLLS_PER_S} times a second, the most that they do while something is "
        f"held back. A limit takes {cost['bytes_per_limit']:.0f} bytes at the leader: "
        f"{limited * cost['bytes_per_limit'] / 1e6:.1f} MB with {LIMITED_SHARE:.0%} of "
        f"{RUNNER_COUNT} servers limited; a request takes {cost['send_us']:.1f} µs more "
        "at each limited server that it reaches. A limited later stage that holds "
        f"requests back is asked for {1 / REPORT_SPACING_S:.0f} reports a second by all "
        "gateways together, however many there are. Without limits there is nothing to "
        "send. What breaks first is the leader's processor time, where most servers "
        "are limited and each gateway uses many of them: then each service, or each "
        "zone, needs a granting instance of its own, which the design allows, since "
        "grants of different servers have nothing in common."
    )
    yield ""


def _render_slopes(data: dict[str, Any], fits: dict[str, Fit]) -> Iterator[str]:
    """Yield the lines on the fits and the links to their plots."""
    yield "## Measured slopes"
    yield ""
    yield "The error is the largest distance of a point from the line, as a share of the"
    yield f"largest value. Fits with more than {MAX_FIT_ERROR:.0%} are marked: there a line is"
    yield "a poor description, or the value hardly depends on what was varied."
    yield ""
    yield "| name | experiment | value | slope | at zero | points | worst error |"
    yield "| --- | --- | --- | --- | --- | --- | --- |"
    for name, line in fits.items():
        poor_mark = "" if line.is_good else " **poor**"
        yield (
            f"| {name} | {line.experiment} | {line.value} | {line.slope:.4g} | "
            f"{line.intercept:.4g} | {line.point_count} | "
            f"{line.max_error:.1%}{poor_mark} |"
        )
    yield ""
    for experiment in sorted({line.experiment for line in fits.values()}):
        yield f"![{experiment}](capacity/{experiment}.png)"
    yield ""


def draw_plots(data: dict[str, Any], fits: dict[str, Fit]) -> None:
    """Draw every fit with its points, one figure for each experiment."""
    for experiment in sorted({line.experiment for line in fits.values()}):
        lines = [line for line in fits.values() if line.experiment == experiment]
        figure, axes = pyplot.subplots(
            1, len(lines), figsize=(4 * len(lines), 3), squeeze=False
        )
        for axis, line in zip(axes[0], lines):
            x_column = {"tokens": "tokens_per_s", "requests": "requests_per_s"}.get(
                experiment, "x"
            )
            xs = [row[x_column] for row in data[experiment]]
            axis.plot(xs, [row[line.value] for row in data[experiment]], "o")
            axis.plot(xs, [line.predict(x) for x in xs])
            axis.set_title(line.value, fontsize=8)
            axis.set_ylim(bottom=0)
        figure.suptitle(experiment, fontsize=9)
        figure.tight_layout()
        figure.savefig(PLOTS_FOLDER / f"{experiment}.png", dpi=70)
        pyplot.close(figure)


def main() -> None:
    """Write the page and the plots."""
    data = json.loads(DATA_PATH.read_text(encoding="utf-8"))
    PAGE_PATH.write_text("\n".join(render_page(data)) + "\n", encoding="utf-8")
    draw_plots(data, compute_fits(data))
    print(f"{PAGE_PATH} written")


if __name__ == "__main__":
    main()
