"""Tests of the limits component."""
