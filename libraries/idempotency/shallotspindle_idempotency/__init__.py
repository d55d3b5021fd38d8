"""Claims of idempotency keys and their outcomes."""
