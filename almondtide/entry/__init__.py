"""The entry daemon, which runs as a fleet on the users' platform."""
