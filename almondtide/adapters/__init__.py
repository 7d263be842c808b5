"""Implementations of the ports over TCP sockets, HTTP and websockets."""
