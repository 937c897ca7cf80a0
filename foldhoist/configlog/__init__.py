"""The configuration as a fold over the platform's log; no I/O."""
