"""Interfaces of the platform's store and instance list, with HTTP adapters."""
