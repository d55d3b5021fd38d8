"""Lookup of the team that an API key belongs to, and withdrawn keys."""
