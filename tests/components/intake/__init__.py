"""Tests of the intake component."""
