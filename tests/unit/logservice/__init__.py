"""Tests of the client of the platform's log and host list."""
