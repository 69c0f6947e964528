"""Tests of the entry component."""
