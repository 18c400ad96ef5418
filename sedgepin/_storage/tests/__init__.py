"""Tests of the disks and of the log store."""
