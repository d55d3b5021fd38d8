"""Bundle records, checks, differences, manifests and signatures."""
