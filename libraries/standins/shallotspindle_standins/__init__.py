"""Stand-ins of the store, the instance list and upstreams, with faults."""
