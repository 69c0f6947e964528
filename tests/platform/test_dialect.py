"""Headers of callers and replicas are translated, and nothing slips by."""

import pytest

from marigoldhoist.components.gateway.messages import MessageHead
from marigoldhoist.components.gateway.models import Call, ForwardingContext
from marigoldhoist.core.errors import ErrorCode, RequestFailure
from marigoldhoist.core.verdict import Verdict
from marigoldhoist.platform.dialect import PlatformDialect

DIALECT = PlatformDialect()


def head(**headers: str) -> MessageHead:
    """Return a caller's head; underscores in names become dashes."""
    named = {'Host': 'H.example:80', 'Request-Id': 'r1', **headers}
    listed = [
        (name.replace('_', '-').encode(), text.encode())
        for name, text in named.items()
    ]
    return MessageHead(listed, 'POST', b'/a/b?c=d')


def read(**headers: str) -> Call:
    """Return the call of a head that can be understood."""
    call = DIALECT.parse_call(head(**headers), 7)
    assert isinstance(call, Call)
    return call


def sent(call: Call, **fields: object) -> dict[str, str]:
    """Return the headers that a replica gets."""
    made = ForwardingContext('i-1', 2.5, **fields)  # type: ignore[arg-type]
    text = DIALECT.request_bytes(call, made).decode().split('\r\n\r\n')[0]
    lines = text.split('\r\n')[1:]
    return dict(line.split(': ', 1) for line in lines)


class TestCalls:
    """What callers send."""

    def test_fields(self) -> None:
        call = read(
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
    def test_twice_is_refused(self, name: str) -> None:
        doubled = head(X_Api_Key='k')
        doubled.headers.append((name.lower().encode(), b'other'))
        assert isinstance(DIALECT.parse_call(doubled, 0), RequestFailure)

    @pytest.mark.parametrize('text', ('', '-5', '1e3', '٣', '99999999999999x'))
    def test_numbers_that_are_none_are_left_out(self, text: str) -> None:
        broken = head(Request_Deadline='5')
        broken.headers[-1] = (b'Request-Deadline', text.encode())
        call = DIALECT.parse_call(broken, 0)
        assert isinstance(call, Call)
        assert call.time_allowed_s is None


class TestForwarding:
    """What replicas get."""

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
    def test_forged_headers_do_not_pass(self, name: str) -> None:
        found = sent(read(**{name: 'forged'}))
        assert 'forged' not in found.values()

    def test_headers_named_by_connection_do_not_pass(self) -> None:
        found = sent(read(Connection='close, X-Own', X_Own='1', X_Kept='2'))
        assert 'X-Own' not in found
        assert found['X-Kept'] == '2'

    def test_connection_cannot_take_the_id_away(self) -> None:
        assert sent(read(Connection='Request-Id'))['Request-Id'] == 'r1'

    def test_what_the_daemon_sets(self) -> None:
        call = read(Model='*', Last_Event_Id='3', Request_Deadline='9000')
        found = sent(call, workspace='w', model='m0', resume_after=5)
        assert found['Request-Deadline'] == '2500'
        assert found['Target-Instance'] == 'i-1'
        assert found['Tenant'] == 'w'
        assert found['Model'] == 'm0'
        assert found['Last-Event-Id'] == '5'


class TestSigns:
    """What replicas' answers say of themselves."""

    def test_fields(self) -> None:
        metadata = DIALECT.parse_response_metadata(
            MessageHead(
                [
                    (b'Request-Id', b'r1'),
                    (b'Response-Seal', b'x'),
                    (b'Server-Load', b'3,1,8'),
                    (b'Confidence', b'40'),
                    (b'Keep-Alive', b'timeout=10'),
                ],
                status=200,
            )
        )
        assert metadata.is_signed
        assert metadata.load == (3, 1, 8)
        assert (metadata.confidence, metadata.idle_timeout_s) == (40, 10)

    def test_refusals(self) -> None:
        refused = MessageHead([(b'Not-Executed', b'1')], status=503)
        assert DIALECT.parse_response_metadata(refused).was_not_run
        assert DIALECT.parse_response_metadata(
            MessageHead([], status=421)
        ).is_misdirected

    def test_encoded_answer(self) -> None:
        encoded = MessageHead([(b'Content-Encoding', b'gzip')], status=200)
        assert DIALECT.parse_response_metadata(encoded).has_content_encoding


class TestFailures:
    """What the daemon answers itself."""

    def test_time_to_return_is_never_zero(self) -> None:
        refused = RequestFailure(
            code=ErrorCode.OVERLOADED,
            message='full',
            verdict=Verdict.NOT_RUN,
            retry_after_s=0,
        )
        text = DIALECT.failure_response('r1', refused).decode()
        assert text.startswith('HTTP/1.1 503 ')
        assert 'Retry-After: 0.010' in text
