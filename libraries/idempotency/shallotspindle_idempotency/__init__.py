"""Claims of idempotency keys, and cached responses for replays."""
