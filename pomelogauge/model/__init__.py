"""Frozen records, identifiers and errors that every part shares."""
