"""Names, formats and calls of the users' platform, without policy."""
