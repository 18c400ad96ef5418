"""Tests of the Raft reducer."""
