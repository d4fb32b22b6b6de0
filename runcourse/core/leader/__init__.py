"""The leader: fleet planning, hiring and returning machines, and transfers between shares."""
