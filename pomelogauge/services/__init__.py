"""Plain services behind one protocol type."""
