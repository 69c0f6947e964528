"""Tests of the retries component."""
