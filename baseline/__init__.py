"""The naive version of the tier: each daemon chooses servers for itself."""
