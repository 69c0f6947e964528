"""Tests of the rollouts component."""
