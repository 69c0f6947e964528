"""Tests of the dispatch component."""
