"""Decides whether and when a failed request is sent again, within a retry budget."""
