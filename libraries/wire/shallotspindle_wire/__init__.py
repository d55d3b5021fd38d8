"""msgpack messages between instances."""
