"""Request router for versioned models, model cascades and services."""

__version__ = '0.1.0'
