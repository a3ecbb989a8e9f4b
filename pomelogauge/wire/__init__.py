"""Encodings of messages, apart from the decisions."""
