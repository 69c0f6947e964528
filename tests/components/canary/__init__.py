"""Tests of the canary component."""
