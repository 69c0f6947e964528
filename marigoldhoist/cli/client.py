"""HTTP client of a daemon's operator API."""

import os
from typing import Any

import msgspec
import urllib3

from marigoldhoist.cli.const import (
    CALL_TIMEOUT_S,
    DEFAULT_URL,
    EXIT_UNKNOWN,
    KEY_VARIABLE,
    URL_VARIABLE,
)
from marigoldhoist.cli.errors import CommandError
from marigoldhoist.core.http_client import new_pool

HTTP_UNAUTHORIZED = 401
HTTP_ERROR = 400


class OperatorClient:
    """Calls the operator API at the URL in MARIGOLDHOIST_URL."""

    def __init__(self) -> None:
        self._url = os.environ.get(URL_VARIABLE, DEFAULT_URL)
        self._key = os.environ.get(KEY_VARIABLE, '')
        self._pool = new_pool(max_hosts=1)

    def get(self, path: str) -> Any:
        """Return the decoded response, or raise CommandError."""
        return self._call('GET', path, None)

    def post(self, path: str, content: Any) -> Any:
        """Send content as JSON; return the decoded response."""
        return self._call('POST', path, msgspec.json.encode(content))

    def _call(self, method: str, path: str, body: bytes | None) -> Any:
        try:
            response = self._pool.request(
                method,
                self._url + path,
                body=body,
                headers={'Authorization': f'Bearer {self._key}'},
                timeout=CALL_TIMEOUT_S,
            )
        except urllib3.exceptions.HTTPError as error:
            raise CommandError(
                f'no answer from {self._url}: {error}', EXIT_UNKNOWN
            ) from error
        if response.status == HTTP_UNAUTHORIZED:
            raise CommandError(f'{KEY_VARIABLE} is not an operator key')
        if response.status >= HTTP_ERROR:
            raise CommandError(response.data.decode(errors='replace'))
        return msgspec.json.decode(response.data)
