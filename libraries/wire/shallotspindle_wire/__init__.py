"""Message codec, framing and authenticated streams between instances."""
