"""Tests of customers."""
