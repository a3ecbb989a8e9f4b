"""Transports and message encodings, kept apart from the decisions."""
