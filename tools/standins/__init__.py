"""Fake servers (stand-ins) for the systems around the daemon, with faults."""
