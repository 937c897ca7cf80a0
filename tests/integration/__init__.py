"""Tests with real processes and fault-injecting proxies."""
