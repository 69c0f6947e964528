"""Tests of the leases component."""
