"""Tests of the freshness component."""
