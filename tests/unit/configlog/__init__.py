"""Tests of the configuration log, versions and evacuations."""
