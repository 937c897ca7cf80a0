"""Tests of customer identification and quotas."""
