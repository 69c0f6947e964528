"""Test environment of fake servers and daemons on loopback addresses."""
