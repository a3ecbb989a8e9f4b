"""Model engines behind one protocol type."""
