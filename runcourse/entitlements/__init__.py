"""Entitlements: one pool of machines divided among organisations while it serves."""
