"""Settings of a daemon and the fleet configuration: parsing, checks and faults."""
