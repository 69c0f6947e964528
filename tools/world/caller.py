"""HTTP client for a daemon's entry and operator ports."""

import dataclasses
import uuid
from typing import Any

import msgspec
import urllib3

CALL_TIMEOUT_S = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class CallerReply:
    """A reply as a caller receives it; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def served_version(self) -> str:
        """Return the X-Served-Version header ('model/version') or ''."""
        return self.headers.get('x-served-version', '')

    @property
    def verdict(self) -> str:
        """Return the X-Verdict header of an error reply, or ''."""
        return self.headers.get('x-verdict', '')

    @property
    def error_code(self) -> str:
        """Return the error code in the body of an error reply."""
        decoded = msgspec.json.decode(self.body)
        return str(decoded['error']['code'])

    @property
    def is_complete_stream(self) -> bool:
        """Return whether the event stream ends with its [DONE] event."""
        return self.body.rstrip().endswith(b'data: [DONE]')


class Caller:
    """Sends requests to one daemon, authenticated by one key."""

    def __init__(self, address: str, key: str, port: int = 7100) -> None:
        self._url = f'http://{address}:{port}'
        self._key = key
        self._pool = urllib3.PoolManager(retries=False)

    def chat(
        self,
        model: str = 'pult-model',
        headers: dict[str, str] | None = None,
        **fields: Any,
    ) -> CallerReply:
        """Send a chat request, streamed unless `fields` override it."""
        body = {'model': model, 'messages': [], 'stream': True} | fields
        return self.send('POST', '/v1/chat/completions', body, headers)

    def call_service(
        self, path: str, headers: dict[str, str] | None = None
    ) -> CallerReply:
        """Send a POST request to a plain service."""
        return self.send('POST', f'/services/{path}', {}, headers)

    def send(
        self,
        method: str,
        path: str,
        body: Any,
        headers: dict[str, str] | None = None,
    ) -> CallerReply:
        """Send a request; a body of bytes is not encoded as JSON."""
        content = body if isinstance(body, bytes) else msgspec.json.encode(body)
        reply = self._pool.request(
            method,
            self._url + path,
            body=content,
            headers={
                'Authorization': f'Bearer {self._key}',
                'Content-Type': 'application/json',
                'X-Request-Id': uuid.uuid4().hex,
            }
            | (headers or {}),
            timeout=CALL_TIMEOUT_S,
        )
        lowercase = {name.lower(): text for name, text in reply.headers.items()}
        return CallerReply(reply.status, lowercase, reply.data)
