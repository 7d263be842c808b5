"""Benchmarks of the tier and of its naive version."""
