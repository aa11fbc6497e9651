"""Histograms with bounded cardinality."""

from __future__ import annotations

import unittest

from yuccareach.metrics.exposition import expose
from yuccareach.metrics.registry import OTHER, Registry


class RegistryTests(unittest.TestCase):
    def test_number_of_histograms_is_bounded_and_nothing_is_lost(self) -> None:
        registry = Registry(workspaces_kept=10)
        for number in range(500):
            registry.observe("first_token", f"w{number}", "c", number + 1)
        registry.fold()
        self.assertEqual(len(registry.histogram_by_key), 12)
        self.assertLessEqual(len(registry.pending_by_key), 10)
        counts = {
            key.workspace: item.get_total_count() for key, item in registry.series()
        }
        self.assertEqual((counts[""], counts[OTHER]), (500, 490))

    def test_exposition_names_metric_workspace_and_class(self) -> None:
        registry = Registry()
        registry.observe("first_token", "t/w", "c", 250)
        registry.count("refused", "limit")
        text = expose(registry, lambda: {"running": 3}).decode()
        self.assertIn(
            'yuccareach_first_token_seconds_count{class="c",workspace="t/w"} 1.0', text
        )
        self.assertIn('yuccareach_refused_total{reason="limit"} 1.0', text)
        self.assertIn("yuccareach_running 3.0", text)
