"""Placement near data, and bounded rebalancing of running work. Off unless a file names it."""
