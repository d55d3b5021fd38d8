"""JSON-lines logs and metrics."""
