"""End-to-end tests from a caller's request to its bill, in one process."""

from collections.abc import Iterator

import msgspec
import pytest

from marigoldhoist.components.billing.models import Bill
from marigoldhoist.components.platform_log.const import BILL_STREAM
from marigoldhoist.components.table.const import COMPONENT as TABLE
from marigoldhoist.components.table.service import TableService
from tools.standins.log import LogFaults
from tools.world.caller import Caller
from tools.world.samples import OTHER_KEY, WORKSPACE_KEY, make_table_change
from tools.world.world import World, wait_until

SMALL = 'pult-model/small'
LARGE = 'pult-model/large'


@pytest.fixture
def world() -> Iterator[World]:
    """Start two daemons with two engines and a plain service."""
    with World() as started:
        started.add_engine('engine-1', 'zg-trnje', SMALL, LARGE)
        started.add_engine('engine-2', 'zg-dubrava', SMALL, LARGE)
        started.add_plain('plain-1', 'zg-trnje', 'pult-narudzbe')
        started.add_daemon('entry-1', 'zg-trnje')
        started.add_daemon('entry-2', 'zg-dubrava')
        wait_for_revision(started, 0)
        yield started


def revision(world: World, host: str) -> int:
    """Return the revision of the table in force at a daemon."""
    kernel = world.kernels_by_host[host]
    return kernel.find(TABLE, TableService).state.revision


def wait_for_revision(world: World, offset: int) -> None:
    """Wait until the table of this revision is in force at every daemon."""
    wait_until(
        lambda: all(
            revision(world, host) == offset for host in world.kernels_by_host
        ),
        f'revision {offset}',
    )


def caller(world: World, host: str, key: str = WORKSPACE_KEY) -> Caller:
    """Return a caller of a daemon."""
    return Caller(world.address_of(host), key)


def bills(world: World) -> list[Bill]:
    """Return the bills on the log."""
    return [
        msgspec.json.decode(entry.record.body, type=Bill)
        for entry in world.log.store.entries(BILL_STREAM)
    ]


class TestRequestPath:
    """A request is answered, and billed once."""

    def test_stream_is_complete_and_billed_once(self, world: World) -> None:
        reply = caller(world, 'entry-1').chat(max_tokens=7)
        assert reply.status == 200
        assert reply.is_complete_stream
        assert reply.served_version in {SMALL, LARGE}
        wait_until(lambda: len(bills(world)) == 1, 'one bill')
        assert bills(world)[0].tokens == 7
        assert bills(world)[0].is_whole

    def test_unstreamed_answer(self, world: World) -> None:
        reply = caller(world, 'entry-2').chat(stream=False, max_tokens=3)
        assert msgspec.json.decode(reply.body)['usage'] == {
            'completion_tokens': 3
        }
        wait_until(lambda: len(bills(world)) == 1, 'one bill')
        assert bills(world)[0].tokens == 3

    def test_plain_service(self, world: World) -> None:
        reply = caller(world, 'entry-1').call_service('pult-narudzbe/stock')
        assert reply.status == 200
        assert [
            call.path for call in world.plain_services_by_host['plain-1'].calls
        ] == ['/stock']

    def test_other_workspace_is_refused(self, world: World) -> None:
        reply = caller(world, 'entry-1', OTHER_KEY).chat()
        assert (reply.status, reply.error_code, reply.verdict) == (
            403,
            'model_not_allowed',
            'not_run',
        )

    def test_unknown_key_is_refused(self, world: World) -> None:
        reply = caller(world, 'entry-1', 'no such key').chat()
        assert (reply.status, reply.verdict) == (401, 'not_run')


class TestTableChange:
    """A table change reaches every daemon."""

    def test_withdrawn_version_gets_no_requests(self, world: World) -> None:
        offset = world.change_table(
            make_table_change(
                {'version/pult-model/small': {'state': 'withdrawn'}},
                base_revision=0,
            )
        )
        wait_for_revision(world, offset)
        replies = [caller(world, 'entry-2').chat() for _ in range(20)]
        assert {reply.served_version for reply in replies} == {LARGE}

    def test_change_is_relayed_by_peer_if_log_is_down(
        self, world: World
    ) -> None:
        world.set_log_faults(LogFaults(is_down=True), 'entry-2')
        offset = world.change_table(
            make_table_change({'service/new': {}}, base_revision=-1)
        )
        wait_until(lambda: revision(world, 'entry-2') == offset, 'the relay')

    def test_bill_is_appended_after_log_outage(self, world: World) -> None:
        world.set_log_faults(LogFaults(is_down=True))
        assert caller(world, 'entry-1').chat().status == 200
        world.set_log_faults(LogFaults())
        wait_until(lambda: len(bills(world)) == 1, 'the bill')
