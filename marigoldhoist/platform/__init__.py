"""Translate between the platform and the product; nothing is decided here."""
