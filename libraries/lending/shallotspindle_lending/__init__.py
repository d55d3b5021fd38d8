"""Slots of upstreams lent to requests, with what all requests of a domain saw."""
