"""Benchmarks, run with ``python -m bench NAME``."""
