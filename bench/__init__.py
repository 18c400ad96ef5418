"""Measurements: ``python -m bench NAME``."""
