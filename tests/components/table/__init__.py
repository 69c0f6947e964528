"""Tests of the table component."""
