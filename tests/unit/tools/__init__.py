"""Tests of the tools."""
