"""Entitlements: divides one pool of machines among organisations, adjustable at run time."""
