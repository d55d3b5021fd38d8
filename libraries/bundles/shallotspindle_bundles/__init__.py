"""Records of configuration bundles with checks, deltas, manifests and signatures."""
