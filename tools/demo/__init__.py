"""A short run of the whole system that checks its guarantees."""
