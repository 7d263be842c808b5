"""Measurements on this machine."""
