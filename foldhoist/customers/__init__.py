"""Customer identification by API key, and quotas; no I/O, and times are passed in."""
