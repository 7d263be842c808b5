"""The entry daemon of a fleet on the users' platform."""
