"""Logs, metrics, spans and decision records."""
