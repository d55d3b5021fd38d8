"""Proxy daemon that takes configuration and discovery from one store."""
