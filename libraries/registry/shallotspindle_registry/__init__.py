"""Announcements of upstreams, and how long a missing announcement stays in use."""
