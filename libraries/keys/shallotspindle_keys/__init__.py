"""Lookup of callers' keys and withdrawals."""
