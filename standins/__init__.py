"""Stand-ins for the systems around almondtide, for tests, demo and benchmarks."""
