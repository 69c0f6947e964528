"""Tests of the ratings component."""
