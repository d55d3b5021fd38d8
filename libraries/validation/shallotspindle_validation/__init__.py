"""Field types with bounds, and decoding of JSON documents of other writers."""
