"""End-to-end tests of daemons, fake servers and callers."""
