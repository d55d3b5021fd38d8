"""Leases of upstream slots, granted from what a whole failure domain observed."""
