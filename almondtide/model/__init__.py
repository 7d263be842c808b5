"""Types of the entry that its formats and its decisions share; no decisions."""
