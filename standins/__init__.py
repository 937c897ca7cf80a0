"""Test doubles for the systems around a daemon: platform, upstream, caller, faulty network."""
