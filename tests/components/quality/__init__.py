"""Tests of the quality component."""
