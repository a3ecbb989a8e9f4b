"""Tests of pomelogauge."""
