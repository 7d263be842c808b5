"""Tests of what is known of the users' platform."""
