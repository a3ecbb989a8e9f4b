"""Tasks of an entry instance: callers, groups, and what both know."""
