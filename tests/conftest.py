"""Settings of every test run."""

import hypothesis

from marigoldhoist.core.events import configure_logs

hypothesis.settings.register_profile(
    'ci', derandomize=True, deadline=None, max_examples=50
)
hypothesis.settings.load_profile('ci')
configure_logs('error', 'tests')
