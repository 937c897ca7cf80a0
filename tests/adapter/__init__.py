"""Tests of the adapter to the users' platform, and of daemons that run through it."""
