"""Calls under which upstreams end: how they are known, counted by all daemons, and refused."""
