"""Which upstreams may get work; no I/O."""
