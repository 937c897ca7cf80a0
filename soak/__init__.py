"""A randomized soak test: daemon processes under load, injected faults, and a check of the history.

Faults and their times follow from a seed. The check uses only what callers and upstreams recorded,
never what a daemon reports about itself.
"""
