"""Tests of the soak."""
