"""Tests of the experiments in bench."""
