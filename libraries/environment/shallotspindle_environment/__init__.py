"""Store and instance list of the platform: interfaces and HTTP clients."""
