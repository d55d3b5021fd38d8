"""Membership view, heartbeats and gossip of changes."""
