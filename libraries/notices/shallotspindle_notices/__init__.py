"""Decides what follows from what upstreams say of themselves in their responses."""
