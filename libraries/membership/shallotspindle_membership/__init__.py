"""Peers, heartbeats and the spreading of changes."""
