"""Summarize a load run, as data and as lines of text."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from yuccareach.metrics.registry import QUANTILES

if TYPE_CHECKING:
    from collections.abc import Iterator

    from yuccareach.load.runner import LoadRun

REPORTED_METRICS = ("first_token", "between_tokens", "whole_answer")


def summarize(load_run: LoadRun) -> dict[str, Any]:
    """Return the figures of a run; durations are in milliseconds."""
    durations = {
        key.metric: {
            f"p{quantile:g}": histogram.get_value_at_percentile(quantile)
            for quantile in QUANTILES
        }
        | {"max": histogram.get_max_value()}
        for key, histogram in load_run.registry.iterate_histograms()
        if not key.workspace
    }
    return {
        "requests": len(load_run.results),
        "elapsed_s": round(load_run.elapsed_s, 3),
        "tokens_per_second": round(load_run.tokens_per_second, 1),
        "verdicts": dict(sorted(load_run.count_by_verdict.items())),
        "durations_ms": durations,
    }


def format_lines(figures: dict[str, Any]) -> Iterator[str]:
    """Yield the figures of a run as lines of text."""
    verdicts = ", ".join(
        f"{count} {name}" for name, count in figures["verdicts"].items()
    )
    yield f"{figures['requests']} requests in {figures['elapsed_s']} s: {verdicts}"
    for name in ("wrong", "missing"):
        yield f"{name}: {figures['verdicts'].get(name, 0)}"
    yield f"tokens per second: {figures['tokens_per_second']}"
    for metric in REPORTED_METRICS:
        durations = figures["durations_ms"].get(metric, {})
        text = ", ".join(f"{name} {value} ms" for name, value in durations.items())
        yield f"{metric}: {text or 'none'}"


__all__ = ["format_lines", "summarize"]
