"""Adapter between the platform's protocols and the product's components.

It only converts messages and records; all policy lives in the components.
"""
