"""Upstreams that announce themselves, and how long a lost entry is believed."""
