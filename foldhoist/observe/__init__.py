"""Counters, histograms, spans and decision records."""
