"""Adapters that connect the ports to sockets, HTTP and websockets."""
