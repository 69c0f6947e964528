"""Benches, run by script/bench."""
