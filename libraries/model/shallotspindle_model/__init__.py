"""Specifications of the protocols of the fleet for the model checker."""
