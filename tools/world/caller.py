"""A caller of the entry port."""

import dataclasses
import uuid
from typing import Any

import msgspec
import urllib3

CALL_TIMEOUT_S = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class CallerReply:
    """What the caller got."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def served_version(self) -> str:
        """Return the version that the daemon says it used."""
        return self.headers.get('x-served-version', '')

    @property
    def verdict(self) -> str:
        """Return the verdict of a refusal."""
        return self.headers.get('x-verdict', '')

    @property
    def error_code(self) -> str:
        """Return the code of a refusal."""
        decoded = msgspec.json.decode(self.body)
        return str(decoded['error']['code'])

    @property
    def is_complete_stream(self) -> bool:
        """Tell whether the stream came to its end mark."""
        return self.body.rstrip().endswith(b'data: [DONE]')


class Caller:
    """Sends requests to one daemon with one workspace key."""

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
        """Ask a model."""
        body = {'model': model, 'messages': [], 'stream': True} | fields
        return self.send('POST', '/v1/chat/completions', body, headers)

    def call_service(
        self, path: str, headers: dict[str, str] | None = None
    ) -> CallerReply:
        """Call a plain service."""
        return self.send('POST', f'/services/{path}', {}, headers)

    def send(
        self,
        method: str,
        path: str,
        body: Any,
        headers: dict[str, str] | None = None,
    ) -> CallerReply:
        """Send any request; bytes go as they are."""
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
        lowered = {name.lower(): shown for name, shown in reply.headers.items()}
        return CallerReply(reply.status, lowered, reply.data)
