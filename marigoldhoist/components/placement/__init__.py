"""Replica selection by estimated load, as pure logic without I/O."""
