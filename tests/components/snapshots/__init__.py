"""Tests of the snapshots component."""
