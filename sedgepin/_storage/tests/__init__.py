"""Tests of the disk and of the log file."""
