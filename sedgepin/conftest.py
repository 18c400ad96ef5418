"""Hypothesis settings that make property tests deterministic."""

import hypothesis

hypothesis.settings.register_profile(
    "repeatable",
    derandomize=True,
    database=None,
    deadline=None,
    print_blob=False,
)
hypothesis.settings.load_profile("repeatable")
