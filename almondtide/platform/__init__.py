"""Formats of the users' platform and the client of its store; no decisions."""
