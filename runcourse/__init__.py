"""runcourse: a cluster scheduler."""
