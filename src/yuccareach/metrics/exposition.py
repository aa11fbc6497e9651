"""Prometheus exposition of the histograms and counters of a process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.metrics_core import SummaryMetricFamily

from yuccareach.metrics.catalog import DESCRIPTION_BY_NAME, get_exposed_name
from yuccareach.metrics.registry import QUANTILES

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from prometheus_client.metrics_core import Metric

    from yuccareach.metrics.registry import Registry


class _Collector:
    """Provides the registry's histograms and counters to the Prometheus client."""

    def __init__(
        self, registry: Registry, gauges: Callable[[], Mapping[str, float]]
    ) -> None:
        self.registry = registry
        self.gauges = gauges

    def collect(self) -> Iterable[Metric]:
        """Return the current value of every metric; durations are in seconds."""
        families: dict[str, Metric] = {}
        for key, histogram in self.registry.iterate_histograms():
            name = get_exposed_name(key.metric)
            labels = {"workspace": key.workspace, "class": key.class_name}
            family = families.setdefault(
                name, SummaryMetricFamily(name, _get_meaning(key.metric))
            )
            for quantile in QUANTILES:
                value = histogram.get_value_at_percentile(quantile) / 1000
                quantile_label = {"quantile": f"{quantile / 100:g}"}
                family.add_sample(name, labels | quantile_label, value)
            total = histogram.get_total_count()
            family.add_sample(f"{name}_count", labels, total)
            mean_ms = histogram.get_mean_value() if total else 0.0
            family.add_sample(f"{name}_sum", labels, mean_ms * total / 1000)
        for (metric, reason), count in sorted(
            self.registry.count_by_metric_and_reason.items()
        ):
            name = f"yuccareach_{metric}"
            counter = families.setdefault(
                name, CounterMetricFamily(name, _get_meaning(metric))
            )
            counter.add_sample(f"{name}_total", {"reason": reason}, count)
        for gauge, value in self.gauges().items():
            name = f"yuccareach_{gauge}"
            families[name] = GaugeMetricFamily(name, _get_meaning(gauge), value)
        return families.values()


def _get_meaning(name: str) -> str:
    return DESCRIPTION_BY_NAME[name].meaning


def format_metrics(
    registry: Registry, gauges: Callable[[], Mapping[str, float]]
) -> bytes:
    """Return all metrics in the Prometheus text format."""
    collector_registry = CollectorRegistry()
    collector_registry.register(_Collector(registry, gauges))  # type: ignore[arg-type]
    return generate_latest(collector_registry)


__all__ = ["format_metrics"]
