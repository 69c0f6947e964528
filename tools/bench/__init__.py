"""Benchmarks; their figures are comparable only within one run."""
