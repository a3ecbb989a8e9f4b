"""A randomized soak of whole entry processes under faults from outside."""
