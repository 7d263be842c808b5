"""Stand-ins for the review's scripts: a store, servers, clients, and a small fleet."""
