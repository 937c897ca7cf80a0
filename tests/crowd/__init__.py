"""Crowds of clients that do not behave, at daemons as separate processes; played one at a time."""
