"""Tests of the load tool and of its summaries."""
