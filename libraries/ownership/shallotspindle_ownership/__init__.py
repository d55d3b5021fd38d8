"""Exclusive ownership of partitions by instances."""
