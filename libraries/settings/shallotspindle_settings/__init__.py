"""Validated models of settings files, bundle files and stored values."""
