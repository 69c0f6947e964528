"""The micro-kernel: services, settings, verdicts, events and clocks."""
