"""Identifiers, clock and random source protocols, failure values and hashing."""
