"""What the leader does, and what owners do for it: the fleet, its shares, hiring and returns."""
