"""Clients of the platform: tables, objects and the instance list."""
