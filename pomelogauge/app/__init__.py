"""Composition root, settings, command line, logs, traces and metrics."""
