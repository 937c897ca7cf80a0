"""Membership: known daemons and their upstreams; no I/O."""
