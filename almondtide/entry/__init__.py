"""The entry daemon, which runs as a fleet on the users' platform.

An entry is one such daemon: callers send their requests to it.
"""
