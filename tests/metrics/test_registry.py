"""Tests of histograms, counters and their exposition to Prometheus."""

from __future__ import annotations

import re
import unittest
from pathlib import Path

from yuccareach.metrics.catalog import DESCRIPTION_BY_NAME
from yuccareach.metrics.exposition import format_metrics
from yuccareach.metrics.registry import OTHER_WORKSPACES, Registry

_METRIC_CALL_PATTERN = re.compile(
    r"(?:ObserveDuration|IncrementCounter|registry\.observe|registry\.count)"
    r'\(\s*"(\w+)"'
)


class RegistryTests(unittest.TestCase):
    def test_number_of_histograms_is_bounded_and_no_duration_is_lost(self) -> None:
        registry = Registry(max_workspaces=10)
        for number in range(500):
            registry.observe("first_token", f"w{number}", "c", number + 1)
        registry.record_pending()
        self.assertEqual(len(registry.histogram_by_key), 12)
        self.assertLessEqual(len(registry.count_by_duration_by_key), 10)
        counts = {
            key.workspace: item.get_total_count()
            for key, item in registry.iterate_histograms()
        }
        self.assertEqual((counts[""], counts[OTHER_WORKSPACES]), (500, 490))

    def test_exposition_names_metric_workspace_and_class(self) -> None:
        registry = Registry()
        registry.observe("first_token", "t/w", "c", 250)
        registry.count("refused", "limit")
        text = format_metrics(registry, lambda: {"requests_active": 3}).decode()
        self.assertIn(
            'yuccareach_first_token_seconds_count{class="c",workspace="t/w"} 1.0', text
        )
        self.assertIn('yuccareach_refused_total{reason="limit"} 1.0', text)
        self.assertIn("yuccareach_requests_active 3.0", text)


class CatalogTests(unittest.TestCase):
    def test_undescribed_metric_raises(self) -> None:
        registry = Registry()
        with self.assertRaises(AssertionError):
            registry.count("undescribed", "x")
        with self.assertRaises(AssertionError):
            registry.observe("undescribed", "w", "c", 1)

    def test_every_metric_named_in_the_code_is_described(self) -> None:
        sources = [path.read_text() for path in Path("src/yuccareach").rglob("*.py")]
        named = {
            name for text in sources for name in _METRIC_CALL_PATTERN.findall(text)
        }
        self.assertGreater(len(named), 10)
        self.assertEqual(named - set(DESCRIPTION_BY_NAME), set())

    def test_exposition_contains_the_meaning_as_help(self) -> None:
        registry = Registry()
        registry.count("repeats", "sent")
        text = format_metrics(registry, lambda: {"leased": 1}).decode()
        meaning = DESCRIPTION_BY_NAME["repeats"].meaning
        self.assertIn(f"# HELP yuccareach_repeats_total {meaning}", text)
        self.assertIn("yuccareach_leased 1.0", text)

    def test_series_of_many_workspaces_are_bounded_when_scraped(self) -> None:
        registry = Registry(max_workspaces=20)
        for number in range(1_000):
            registry.observe("request", f"w{number}", "stream", 5)
        text = format_metrics(registry, dict).decode()
        counts = [line for line in text.splitlines() if "_seconds_count{" in line]
        # One line for each kept workspace, one for the others, one for the class total.
        self.assertEqual(len(counts), 20 + 2)
        self.assertEqual(sum(float(line.split()[-1]) for line in counts), 2_000)
