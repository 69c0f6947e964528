"""Tests of the health component."""
