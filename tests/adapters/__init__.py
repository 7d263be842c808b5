"""Tests of the adapters, one test module per module."""
