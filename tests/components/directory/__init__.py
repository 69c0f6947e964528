"""Tests of the directory component."""
