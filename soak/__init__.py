"""A randomized soak: real daemons as processes, faults from outside, and a judge of what was seen.

Faults and their times follow from a seed. The judge compares only what callers and upstreams have
noted, never what a daemon says of itself.
"""
