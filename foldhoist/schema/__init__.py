"""Generated message, settings and configuration types."""
