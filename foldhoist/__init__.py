"""foldhoist: a load balancer for small fleets whose load shifts within milliseconds."""

__version__ = "0.1.0"
