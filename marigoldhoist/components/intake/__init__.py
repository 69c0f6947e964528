"""Bounds on the memory that callers' input holds, as logic without I/O."""
