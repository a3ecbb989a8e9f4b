"""Frozen records, identifiers and errors that all packages share."""
