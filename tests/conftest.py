"""Hypothesis profiles and log settings of all test runs."""

import os

import hypothesis

from marigoldhoist.core.events import configure_logs

hypothesis.settings.register_profile(
    'ci', derandomize=True, deadline=None, max_examples=50
)
hypothesis.settings.register_profile('soak', deadline=None, print_blob=True)
hypothesis.settings.load_profile(os.environ.get('MARIGOLDHOIST_PROFILE', 'ci'))
configure_logs('error', 'tests')
