"""A small world of stand-ins and daemons on loopback addresses."""
