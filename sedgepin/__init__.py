"""A router for model pipelines over mixed accelerators."""
