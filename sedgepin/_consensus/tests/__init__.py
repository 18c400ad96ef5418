"""Tests of the consensus reducer."""
