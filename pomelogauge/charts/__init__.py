"""State charts in files, and the code that reads, checks and draws them."""
