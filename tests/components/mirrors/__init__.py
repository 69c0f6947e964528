"""Tests of the mirrors component."""
