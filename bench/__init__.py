"""Benchmarks of the tier (the product) and of its naive version (the baseline)."""
