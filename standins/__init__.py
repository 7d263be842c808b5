"""Stand-ins for the systems around the tier, for tests, demo and benchmarks."""
