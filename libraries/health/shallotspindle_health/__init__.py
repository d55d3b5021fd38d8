"""Outlier detection, ejections and capacity floors."""
