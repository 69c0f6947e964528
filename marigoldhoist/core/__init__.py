"""The kernel and the types, settings and helpers that components share."""
