"""Settings of the daemons, given by flags and environment variables."""
