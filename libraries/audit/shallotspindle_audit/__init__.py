"""Hash-chained audit records."""
