"""Seeded replays of request streams against simulated replicas."""
