"""Tests of the streams component."""
