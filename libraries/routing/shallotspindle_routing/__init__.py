"""Route matching, load balancing between upstreams and fair queueing."""
