"""Clients of the log service and the host list that fleets without an adapter run on."""
