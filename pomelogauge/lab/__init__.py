"""Tools that run processes, loads, scenarios and experiments."""
