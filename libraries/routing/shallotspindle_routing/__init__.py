"""Route matching, choice of an upstream and fair queueing."""
