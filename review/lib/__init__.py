"""Stand-ins of users, workers, cloud and state service for the cases of the review."""
