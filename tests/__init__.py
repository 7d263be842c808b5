"""Tests of the package, one module for each module."""
