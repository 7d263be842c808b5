"""Tests of the naive version."""
