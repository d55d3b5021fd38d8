"""Retry budget, backoff and what may be retried."""
