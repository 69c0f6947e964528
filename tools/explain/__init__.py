"""Reconstruct the timeline of a request from the logs of all daemons."""
