"""Clients of model engines: control orders and token streams."""
