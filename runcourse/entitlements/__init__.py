"""Entitlements: how machines are divided among organisations, adjustable at run time."""
