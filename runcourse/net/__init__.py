"""Sockets: HTTP, the outside systems, links between controllers."""
