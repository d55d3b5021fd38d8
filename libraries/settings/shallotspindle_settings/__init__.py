"""Validated models of settings and bundle files."""
