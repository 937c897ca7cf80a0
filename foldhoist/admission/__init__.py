"""Slots, queues and budgets; no I/O."""
