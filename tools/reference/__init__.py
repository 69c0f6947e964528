"""Generate the reference pages from the code."""
