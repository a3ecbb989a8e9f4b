"""Tasks of the router and the controller; they communicate by messages."""
