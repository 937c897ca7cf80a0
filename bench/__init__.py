"""Experiments: each measures over real processes or the core objects, and writes its results."""
