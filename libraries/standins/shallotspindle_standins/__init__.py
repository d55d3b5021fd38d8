"""Stand-ins for the store, the instance list and upstreams, with fault injection."""
