"""Placement near data and bounded rebalancing of running work; off unless a file enables it."""
