"""Metrics: histograms, counters and their exposition to Prometheus."""
