"""Tests of the billing component."""
