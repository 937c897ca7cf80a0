"""Benchmarks over daemon processes or core objects; each writes its results to a file."""
