"""Gather what the logs of all daemons tell of one request."""
