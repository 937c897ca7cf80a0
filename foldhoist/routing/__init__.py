"""Choosing an upstream; no I/O."""
