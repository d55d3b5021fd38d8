"""Rates and bursts of teams over all instances."""
