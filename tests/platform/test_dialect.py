"""Parsing and building of the platform's HTTP messages."""

import pytest

from marigoldhoist.components.directory.announcements import Announcement
from marigoldhoist.components.gateway.messages import MessageHead
from marigoldhoist.components.gateway.models import Call, ForwardingContext
from marigoldhoist.core.errors import ErrorCode, RequestFailure
from marigoldhoist.core.verdict import Verdict
from marigoldhoist.platform.dialect import PlatformDialect

DIALECT = PlatformDialect()


def head(**headers: str) -> MessageHead:
    """Return a request head; underscores in names become dashes."""
    header_by_name = {'Host': 'H.example:80', 'Request-Id': 'r1', **headers}
    headers_list = [
        (name.replace('_', '-').encode(), text.encode())
        for name, text in header_by_name.items()
    ]
    return MessageHead(headers_list, 'POST', b'/a/b?c=d')


def parse(**headers: str) -> Call:
    """Return the call parsed from a valid request head."""
    call = DIALECT.parse_call(head(**headers), 7)
    assert isinstance(call, Call)
    return call


def forward(call: Call, **fields: object) -> dict[str, str]:
    """Return the headers of the request that is sent to a replica."""
    context = ForwardingContext('i-1', 2.5, **fields)  # type: ignore[arg-type]
    text = (
        DIALECT.request_head_bytes(call, context).decode().split('\r\n\r\n')[0]
    )
    lines = text.split('\r\n')[1:]
    return dict(line.split(': ', 1) for line in lines)


class TestCalls:
    """Parsing of callers' requests."""

    def test_fields(self) -> None:
        call = parse(
            Request_Deadline='1500',
            X_Api_Key='k',
            Last_Event_Id='12',
            Model='*',
            Token_Count='1460,80',
            Prefix_Hash='5c:800,91:410',
            Session='s',
        )
        assert (call.authority, call.path) == ('h.example', '/a/b')
        assert (call.time_allowed_s, call.resume_after) == (1.5, 12)
        assert call.prompt is not None
        assert (call.prompt.tokens_in, call.prompt.tokens_out) == (1460, 80)
        assert [part.tokens for part in call.prompt.parts] == [800, 410]
        assert (call.key, call.session) == ('k', 's')

    @pytest.mark.parametrize('name', ('Request-Id', 'Host', 'X-Api-Key'))
    def test_repeated_header_is_rejected(self, name: str) -> None:
        repeated = head(X_Api_Key='k')
        repeated.headers.append((name.lower().encode(), b'other'))
        assert isinstance(DIALECT.parse_call(repeated, 0), RequestFailure)

    @pytest.mark.parametrize(
        'text', ('', '-5', '1e3', '٣', '99999999999999x', '1' * 5000)
    )
    def test_invalid_numbers_are_ignored(self, text: str) -> None:
        invalid = head(Request_Deadline='5')
        invalid.headers[-1] = (b'Request-Deadline', text.encode())
        call = DIALECT.parse_call(invalid, 0)
        assert isinstance(call, Call)
        assert call.time_allowed_s is None


class TestForwarding:
    """Headers of requests to replicas."""

    @pytest.mark.parametrize(
        'name',
        (
            'Tenant',
            'Target-Instance',
            'Hold',
            'Pin-Duration',
            'Kv-Backup',
            'Kv-From',
            'Kv-Fetch',
            'Request-Priority',
            'Expect-Version',
            'X-Api-Key',
            'Transfer-Encoding',
            'Upgrade',
        ),
    )
    def test_forged_system_headers_are_removed(self, name: str) -> None:
        headers = forward(parse(**{name: 'forged'}))
        assert 'forged' not in headers.values()

    def test_headers_listed_in_connection_are_removed(self) -> None:
        headers = forward(
            parse(Connection='close, X-Own', X_Own='1', X_Kept='2')
        )
        assert 'X-Own' not in headers
        assert headers['X-Kept'] == '2'

    def test_connection_cannot_remove_the_request_id(self) -> None:
        assert forward(parse(Connection='Request-Id'))['Request-Id'] == 'r1'

    def test_headers_set_by_the_daemon(self) -> None:
        call = parse(Model='*', Last_Event_Id='3', Request_Deadline='9000')
        headers = forward(call, workspace='w', model='m0', resume_after=5)
        assert headers['Request-Deadline'] == '2500'
        assert headers['Target-Instance'] == 'i-1'
        assert headers['Tenant'] == 'w'
        assert headers['Model'] == 'm0'
        assert headers['Last-Event-Id'] == '5'


class TestResponseMetadata:
    """Parsing of the metadata in replicas' responses."""

    def test_fields(self) -> None:
        metadata = DIALECT.parse_response_metadata(
            MessageHead(
                [
                    (b'Request-Id', b'r1'),
                    (b'Response-Seal', b'x'),
                    (b'Server-Load', b'3,1,8'),
                    (b'Server-Limit', b'2.5'),
                    (b'Confidence', b'40'),
                    (b'Keep-Alive', b'timeout=10'),
                ],
                status=200,
            )
        )
        assert metadata.is_signed
        assert metadata.load == (3, 1, 8)
        assert metadata.announcement.limit_per_s == 2.5
        assert (metadata.confidence, metadata.idle_timeout_s) == (40, 10)

    @pytest.mark.parametrize('text', ('²', '1' * 5000, '-1', ''))
    def test_odd_confidence_is_none(self, text: str) -> None:
        headers = [(b'Confidence', text.encode('latin-1'))]
        metadata = DIALECT.parse_response_metadata(
            MessageHead(headers, status=200)
        )
        assert metadata.confidence is None

    def test_requests_that_were_not_run(self) -> None:
        not_run = MessageHead([(b'Not-Executed', b'1')], status=503)
        assert DIALECT.parse_response_metadata(not_run).was_not_run
        assert DIALECT.parse_response_metadata(
            MessageHead([], status=421)
        ).is_misdirected

    @pytest.mark.parametrize('header', ('', '-1', 'nan', '1e9', '2,5', 'few'))
    def test_invalid_limit_is_none(self, header: str) -> None:
        head = MessageHead([(b'Server-Limit', header.encode())], status=200)
        assert (
            DIALECT.parse_response_metadata(head).announcement == Announcement()
        )

    @pytest.mark.parametrize(
        ('header', 'closed_for_s'),
        (
            ('2', 2),
            ('0.25', 0.25),
            ('3600', 3600),
            ('0', 0),
            ('-1', 0),
            ('soon', 0),
            ('Fri, 04 Dec 2026 09:00:00 GMT', 0),
        ),
    )
    def test_time_for_which_a_replica_is_closed(
        self, header: str, closed_for_s: float
    ) -> None:
        headers = [(b'Retry-After', header.encode())]
        refusal = MessageHead(headers, status=503)
        served = MessageHead(headers, status=200)
        parse_metadata = DIALECT.parse_response_metadata
        assert parse_metadata(refusal).announcement.closed_for_s == closed_for_s
        assert not parse_metadata(served).announcement.closed_for_s

    @pytest.mark.parametrize(
        ('header', 'is_leaving'), (('1', True), ('0', False))
    )
    def test_leaving(self, header: str, is_leaving: bool) -> None:
        head = MessageHead([(b'Server-Leaving', header.encode())], status=200)
        metadata = DIALECT.parse_response_metadata(head)
        assert metadata.announcement.is_leaving is is_leaving

    def test_content_encoding(self) -> None:
        encoded = MessageHead([(b'Content-Encoding', b'gzip')], status=200)
        assert DIALECT.parse_response_metadata(encoded).has_content_encoding


class TestFailures:
    """Responses that the daemon generates for failures."""

    def test_retry_after_is_never_zero(self) -> None:
        failure = RequestFailure(
            code=ErrorCode.OVERLOADED,
            message='full',
            verdict=Verdict.NOT_RUN,
            retry_after_s=0,
        )
        text = DIALECT.failure_response('r1', failure).decode()
        assert text.startswith('HTTP/1.1 503 ')
        assert 'Retry-After: 0.010' in text
