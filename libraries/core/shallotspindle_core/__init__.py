"""Identifiers, clock and random source interfaces, failures and hashing."""
