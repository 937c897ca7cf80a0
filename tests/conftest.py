"""Fixtures that several test groups use."""
