"""Formal specifications of the core protocols and a z3-based model checker."""
