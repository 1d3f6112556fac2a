"""Shared fixtures and the hypothesis profile: the same examples on every run."""

import hypothesis

hypothesis.settings.register_profile(
    "medlarfork", derandomize=True, deadline=None, database=None, print_blob=False
)
hypothesis.settings.load_profile("medlarfork")
