"""Tests of the feeds component."""
