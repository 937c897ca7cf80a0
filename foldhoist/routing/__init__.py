"""Route lookup and upstream selection; no I/O."""
