"""Checks the promises of the tier on recorded histories of fleets under faults."""
