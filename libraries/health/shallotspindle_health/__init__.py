"""Outlier detection of upstreams: scores, ejections, capacity floors and crashes."""
