"""Adapter of the users' platform: its formats, field names and calls."""
