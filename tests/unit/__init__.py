"""Tests of the core objects; modules mirror those of the package."""
