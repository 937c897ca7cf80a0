"""Delivery of calls: attempts, verdicts and idempotency keys; no I/O."""
