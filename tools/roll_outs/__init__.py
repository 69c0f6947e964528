"""Show from logs where the time of roll-outs went."""
