"""HTTP client of the log service."""

import dataclasses
from typing import Generic, TypeVar

import msgspec
import urllib3

from marigoldhoist.components.platform_log.const import (
    CONNECTIONS_PER_HOST,
    MAX_LOG_HOSTS,
    READ_LIMIT_RECORDS,
    READ_TIMEOUT_MARGIN_S,
)
from marigoldhoist.components.platform_log.errors import (
    LogRefusedError,
    LogUnavailableError,
)
from marigoldhoist.components.platform_log.models import (
    AppendReply,
    AppendRequest,
    ReadReply,
    Record,
)
from marigoldhoist.components.platform_log.settings import LogSettings
from marigoldhoist.core.decoding import decode_json
from marigoldhoist.core.http_client import new_pool

HTTP_OK = 200
HTTP_SERVER_ERROR = 500

ReplyT = TypeVar('ReplyT', bound=msgspec.Struct)


@dataclasses.dataclass(frozen=True, slots=True)
class ReplySpec(Generic[ReplyT]):
    """Response type of a call and its read timeout in seconds."""

    reply_type: type[ReplyT]
    timeout_s: float

    def decode(self, body: bytes) -> ReplyT:
        """Decode a response body.

        Raises LogUnavailableError if the body does not match the type.
        """
        try:
            return decode_json(body, self.reply_type)
        except msgspec.MsgspecError as error:
            raise LogUnavailableError(f'garbled answer: {error}') from error


class LogClient:
    """Reads from and appends to streams of the log.

    Every failure raises LogUnavailableError or LogRefusedError.
    """

    def __init__(self, settings: LogSettings) -> None:
        self._settings = settings
        self._pool = new_pool(MAX_LOG_HOSTS, CONNECTIONS_PER_HOST)

    def read(
        self,
        stream: str,
        offset: int,
        wait_s: float = 0,
        limit: int = READ_LIMIT_RECORDS,
    ) -> ReadReply:
        """Read up to `limit` entries, starting at the given offset.

        If there is no such entry yet, the log holds the request for up to
        `wait_s` seconds (long poll). Raises LogUnavailableError or
        LogRefusedError.
        """
        path = f'/streams/{stream}/records'
        query = f'from={offset}&limit={limit}&wait_s={wait_s}'
        return self._call(
            'GET',
            f'{path}?{query}',
            None,
            ReplySpec(ReadReply, wait_s + READ_TIMEOUT_MARGIN_S),
        )

    def append(self, stream: str, records: tuple[Record, ...]) -> AppendReply:
        """Append records in order and return their offsets.

        Raises LogUnavailableError if the records may have been appended,
        LogRefusedError if they were not.
        """
        body = msgspec.json.encode(AppendRequest(records))
        return self._call(
            'POST',
            f'/streams/{stream}/records',
            body,
            ReplySpec(AppendReply, self._settings.append_timeout_s),
        )

    def _call(
        self,
        method: str,
        path: str,
        body: bytes | None,
        spec: ReplySpec[ReplyT],
    ) -> ReplyT:
        timeout = urllib3.Timeout(
            connect=self._settings.connect_timeout_s, read=spec.timeout_s
        )
        try:
            reply = self._pool.request(
                method, self._settings.url + path, body=body, timeout=timeout
            )
        except urllib3.exceptions.NewConnectionError as refused:
            raise LogRefusedError(str(refused)) from refused
        except urllib3.exceptions.HTTPError as error:
            raise LogUnavailableError(str(error)) from error
        if reply.status >= HTTP_SERVER_ERROR:
            raise LogUnavailableError(f'log answered {reply.status}')
        if reply.status != HTTP_OK:
            raise LogRefusedError(f'log answered {reply.status}')
        return spec.decode(reply.data)
