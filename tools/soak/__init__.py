"""A soak test that injects faults into a gateway of real daemon processes."""
