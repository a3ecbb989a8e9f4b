"""Randomized soak test of entry processes under injected faults."""
