"""Exclusive rights on partitions."""
