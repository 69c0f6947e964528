"""Settings of every test run."""

import hypothesis

hypothesis.settings.register_profile(
    'ci', derandomize=True, deadline=None, max_examples=50
)
hypothesis.settings.load_profile('ci')
