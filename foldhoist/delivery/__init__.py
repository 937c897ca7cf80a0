"""What becomes of a call: attempts, verdicts, idempotency keys; no I/O."""
