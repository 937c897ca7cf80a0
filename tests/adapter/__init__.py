"""Tests of the platform adapter and of daemons that use it."""
