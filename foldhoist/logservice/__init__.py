"""Client of the log service and of the host list, for fleets without an adapter."""
