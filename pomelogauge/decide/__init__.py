"""Decisions as pure functions of frozen inputs, without input or output."""
