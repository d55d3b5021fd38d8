"""Randomized soak of the gateway's real processes under faults."""
