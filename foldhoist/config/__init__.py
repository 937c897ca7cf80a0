"""Settings and fleet configuration: loading, checking, reporting."""
