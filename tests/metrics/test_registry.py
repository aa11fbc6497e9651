"""Histograms with bounded cardinality."""

from __future__ import annotations

import re
import unittest
from pathlib import Path

from yuccareach.metrics.catalog import DESCRIPTION_BY_NAME
from yuccareach.metrics.exposition import expose
from yuccareach.metrics.registry import OTHER_WORKSPACES, Registry

_NAMED = re.compile(r'(?:Observe|Count|registry\.observe|registry\.count)\(\s*"(\w+)"')


class RegistryTests(unittest.TestCase):
    def test_number_of_histograms_is_bounded_and_nothing_is_lost(self) -> None:
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
        text = expose(registry, lambda: {"requests_active": 3}).decode()
        self.assertIn(
            'yuccareach_first_token_seconds_count{class="c",workspace="t/w"} 1.0', text
        )
        self.assertIn('yuccareach_refused_total{reason="limit"} 1.0', text)
        self.assertIn("yuccareach_requests_active 3.0", text)


class CatalogTests(unittest.TestCase):
    def test_metric_that_is_not_described_is_a_mistake(self) -> None:
        registry = Registry()
        with self.assertRaises(AssertionError):
            registry.count("unheard_of", "x")
        with self.assertRaises(AssertionError):
            registry.observe("unheard_of", "w", "c", 1)

    def test_every_metric_that_the_code_names_is_described(self) -> None:
        sources = [path.read_text() for path in Path("src/yuccareach").rglob("*.py")]
        named = {name for text in sources for name in _NAMED.findall(text)}
        self.assertGreater(len(named), 10)
        self.assertEqual(named - set(DESCRIPTION_BY_NAME), set())

    def test_scrape_tells_what_a_metric_means(self) -> None:
        registry = Registry()
        registry.count("repeats", "sent")
        text = expose(registry, lambda: {"leased": 1}).decode()
        meaning = DESCRIPTION_BY_NAME["repeats"].meaning
        self.assertIn(f"# HELP yuccareach_repeats_total {meaning}", text)
        self.assertIn("yuccareach_leased 1.0", text)

    def test_series_of_many_workspaces_are_bounded_when_scraped(self) -> None:
        registry = Registry(max_workspaces=20)
        for number in range(1_000):
            registry.observe("request", f"w{number}", "stream", 5)
        text = expose(registry, dict).decode()
        counts = [line for line in text.splitlines() if "_seconds_count{" in line]
        # The workspaces that are kept, all others as one, and the class.
        self.assertEqual(len(counts), 20 + 2)
        self.assertEqual(sum(float(line.split()[-1]) for line in counts), 2_000)
