"""Tasks of an entry instance: callers' requests, groups, and the fleet."""
