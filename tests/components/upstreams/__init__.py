"""Tests of the upstreams component."""
