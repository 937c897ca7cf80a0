"""Calls under which upstreams crash: identified, counted by all daemons, and refused."""
