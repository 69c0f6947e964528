"""Benches; each prints figures as ratios within one run."""
