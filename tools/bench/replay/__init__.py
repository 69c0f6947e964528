"""Seeded replay of request streams against fakes of upstreams."""
