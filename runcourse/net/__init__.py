"""Networking: HTTP, clients of external systems, and connections between controllers."""
