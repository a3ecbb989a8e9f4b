"""State charts in files, and the code that reads and runs them."""
