"""A fault soak: real daemons, faults from outside, promises checked."""
