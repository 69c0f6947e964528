"""Recognize the status lines of HTTP/1.1 responses in received bytes."""

import re
from typing import Final

STATUS_LINE_START: Final = re.compile(rb'HTTP/\d\.\d \d{3}')
