"""Benchmarks and checks that are not part of the product."""
