"""Decisions as pure functions of frozen inputs."""
