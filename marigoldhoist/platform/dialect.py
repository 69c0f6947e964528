"""Parse and build the HTTP messages of callers and replicas."""

import re
from collections.abc import Iterable, Iterator
from typing import Final

import msgspec

from marigoldhoist.components.directory.announcements import Announcement
from marigoldhoist.components.gateway.messages import (
    Header,
    MessageHead,
    request_head_bytes,
    response_bytes,
)
from marigoldhoist.components.gateway.models import (
    Call,
    ForwardingContext,
    Prompt,
    PromptPart,
    ResponseMetadata,
)
from marigoldhoist.core.const import MS_PER_S
from marigoldhoist.core.decoding import parse_integer
from marigoldhoist.core.errors import ErrorCode, RequestFailure
from marigoldhoist.platform import const

IDLE_TIMEOUT_PATTERN: Final = re.compile(r'timeout=(\d+)')
DECIMAL_PATTERN: Final = re.compile(r'[0-9]{1,9}([.][0-9]{0,9})?')
# Lower bound of Retry-After, so that it is never sent as zero.
MIN_RETRY_AFTER_S: Final = 0.01


class PlatformDialect:
    """Parses and builds HTTP messages with the platform's headers."""

    def parse_call(
        self, head: MessageHead, now_s: float
    ) -> Call | RequestFailure:
        """Return the parsed request, or the failure if it is invalid."""
        for name in (const.REQUEST_ID, b'host'):
            if len(head.values(name)) != 1:
                return RequestFailure(
                    ErrorCode.BAD_REQUEST, f'one {name.decode()} is needed'
                )
        if len(head.values(const.API_KEY)) > 1:
            return RequestFailure(ErrorCode.BAD_REQUEST, 'more than one key')
        return Call(
            request_id=head.value(const.REQUEST_ID),
            method=head.method,
            target=head.target,
            authority=_authority(head.value(b'host')),
            path=head.target.partition(b'?')[0].decode('latin-1'),
            headers=list(_forwarded_headers(head)),
            arrived_s=now_s,
            key=head.value(const.API_KEY),
            time_allowed_s=_parse_milliseconds(
                head.value(const.REQUEST_DEADLINE)
            ),
            resume_after=_parse_int(head.value(const.LAST_EVENT_ID)),
            prompt=_parse_prompt(head),
            session=head.value(const.SESSION),
        )

    def request_head_bytes(
        self, call: Call, forwarding: ForwardingContext
    ) -> bytes:
        """Return the encoded head of the request that a replica gets."""
        headers = [
            header
            for header in call.headers
            if header[0].lower() not in {const.MODEL, const.LAST_EVENT_ID}
        ]
        time_left_ms = max(1, int(forwarding.time_left_s * MS_PER_S))
        headers.append((b'Request-Deadline', str(time_left_ms).encode()))
        headers.append((b'Target-Instance', forwarding.replica_host.encode()))
        optional = (
            (b'Tenant', forwarding.workspace),
            (b'Model', forwarding.model),
            (b'Last-Event-Id', str(forwarding.resume_after or '')),
        )
        headers.extend(
            (name, text.encode('latin-1')) for name, text in optional if text
        )
        return request_head_bytes(
            call.method, call.target, headers, len(call.body)
        )

    def handover_head_bytes(
        self,
        call: Call,
        forwarding: ForwardingContext,
        handover_headers: list[Header],
    ) -> bytes:
        """Return the encoded head of the request that another daemon gets."""
        headers = [
            header
            for header in call.headers
            if header[0].lower() != const.LAST_EVENT_ID
        ]
        time_left_ms = max(1, int(forwarding.time_left_s * MS_PER_S))
        headers.append((b'Request-Deadline', str(time_left_ms).encode()))
        optional = (
            (b'X-Api-Key', call.key),
            (b'Last-Event-Id', str(forwarding.resume_after or '')),
        )
        headers.extend(
            (name, text.encode('latin-1')) for name, text in optional if text
        )
        headers.extend(handover_headers)
        return request_head_bytes(
            call.method, call.target, headers, len(call.body)
        )

    def parse_response_metadata(self, head: MessageHead) -> ResponseMetadata:
        """Return the metadata in the headers of a replica's response."""
        confidence = head.value(const.CONFIDENCE)
        idle_timeout = IDLE_TIMEOUT_PATTERN.search(head.value(const.KEEP_ALIVE))
        encoding = head.value(const.CONTENT_ENCODING).lower()
        return ResponseMetadata(
            request_id=head.value(const.REQUEST_ID),
            is_signed=bool(head.value(const.RESPONSE_SEAL)),
            was_not_run=bool(head.values(const.NOT_EXECUTED)),
            is_misdirected=head.status == const.MISDIRECTED,
            has_content_encoding=encoding not in {'', 'identity'},
            load=_parse_load(head.value(const.SERVER_LOAD)),
            announcement=_parse_announcement(head),
            confidence=parse_integer(confidence),
            idle_timeout_s=float(idle_timeout[1]) if idle_timeout else None,
        )

    def response_headers(self, head: MessageHead) -> list[Header]:
        """Return the response headers without the hop-by-hop ones."""
        return [
            header
            for header in head.headers
            if header[0].lower() not in const.HOP_BY_HOP_HEADERS
        ]

    def failure_response(
        self,
        call_id: str,
        failure: RequestFailure,
        extra_headers: Iterable[Header] = (),
    ) -> bytes:
        """Return the encoded response for a failure raised by the daemon."""
        headers: list[Header] = [
            (b'Content-Type', b'application/json'),
            *extra_headers,
        ]
        if call_id:
            headers.append((b'Request-Id', call_id.encode('latin-1')))
        if failure.retry_after_s is not None:
            after_s = max(MIN_RETRY_AFTER_S, failure.retry_after_s)
            headers.append((b'Retry-After', f'{after_s:.3f}'.encode()))
        body = msgspec.json.encode(
            {
                'code': failure.code.value,
                'message': failure.message,
                'verdict': failure.verdict.value,
            }
        )
        return response_bytes(failure.http_status, headers, body)


def _authority(host: str) -> str:
    return host.partition(':')[0].lower()


def _forwarded_headers(head: MessageHead) -> Iterator[Header]:
    """Yield the caller's headers that are forwarded unchanged."""
    connection_options = {
        name.strip().lower()
        for line in head.values(b'connection')
        for name in line.split(b',')
    } - const.END_TO_END_HEADERS
    dropped = (
        connection_options | const.HOP_BY_HOP_HEADERS | const.SYSTEM_HEADERS
    )
    for header in head.headers:
        if header[0].lower() not in dropped:
            yield header


def _parse_prompt(head: MessageHead) -> Prompt | None:
    model = head.value(const.MODEL)
    if not model:
        return None
    tokens_in, _, tokens_out = head.value(const.TOKEN_COUNT).partition(',')
    return Prompt(
        model,
        _parse_int(tokens_in),
        _parse_int(tokens_out),
        tuple(_prompt_parts(head.value(const.PREFIX_HASH))),
    )


def _prompt_parts(header: str) -> Iterator[PromptPart]:
    for entry in header.split(','):
        part_id, _, tokens = entry.strip().partition(':')
        if part_id:
            yield PromptPart(part_id, _parse_int(tokens))


def _parse_load(header: str) -> tuple[int, int, int] | None:
    counts = [_parse_int(count) for count in header.split(',')]
    if len(counts) != 3:
        return None
    return counts[0], counts[1], counts[2]


def _parse_announcement(head: MessageHead) -> Announcement:
    closed_for_s = None
    if head.status == const.UNAVAILABLE:
        closed_for_s = _parse_decimal(head.value(const.RETRY_AFTER))
    return Announcement(
        limit_per_s=_parse_decimal(head.value(const.SERVER_LIMIT)),
        is_leaving=head.value(const.SERVER_LEAVING).strip() == '1',
        closed_for_s=closed_for_s or 0,
        rejections_per_s=_parse_decimal(head.value(const.SERVER_BRITTLE)),
    )


def _parse_decimal(header: str) -> float | None:
    """Return a decimal number, None if the header is not one.

    A date in Retry-After is none either, as the clocks of hosts differ.
    """
    if not DECIMAL_PATTERN.fullmatch(header.strip()):
        return None
    return float(header)


def _parse_int(text: str) -> int:
    """Return the non-negative integer in a text, zero if it is invalid."""
    return parse_integer(text.strip()) or 0


def _parse_milliseconds(text: str) -> float | None:
    milliseconds = _parse_int(text)
    return milliseconds / MS_PER_S if milliseconds else None
