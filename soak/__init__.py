"""Soak test of the entry: real processes under seeded faults, checked as they run."""
