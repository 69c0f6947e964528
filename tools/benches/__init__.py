"""Small measurements, each of one decision."""
