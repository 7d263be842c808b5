"""Query tier for searches spread over many shards."""

__all__ = ["__version__"]

__version__ = "0.1.0"
