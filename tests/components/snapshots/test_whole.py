"""Replacement of all daemons, whose records have expired by then."""

from marigoldhoist.components.leases.const import COMPONENT as LEASES
from marigoldhoist.components.leases.service import LeaseService
from marigoldhoist.components.platform_log.const import COMPONENT as LOG
from marigoldhoist.components.platform_log.const import TABLE_STREAM
from marigoldhoist.components.platform_log.service import LogService
from marigoldhoist.components.snapshots.const import CHUNK_KIND
from marigoldhoist.components.table.const import COMPONENT as TABLE
from marigoldhoist.components.table.service import TableService
from tools.world.samples import make_table_change
from tools.world.world import World, wait_until

FIRST_HOSTS = ('entry-1', 'entry-2')


def table_of(world: World, host: str) -> TableService:
    """Return a daemon's table service."""
    return world.kernels_by_host[host].find(TABLE, TableService)


def snapshot_offsets(world: World) -> list[int]:
    """Return the offsets of the snapshot records on the table stream."""
    return [
        entry.offset
        for entry in world.log.store.entries(TABLE_STREAM)
        if entry.record.kind == CHUNK_KIND
    ]


class TestReplacement:
    """Accepted changes survive the loss of every host and every record."""

    def test_all_hosts_replaced_after_expiry(self) -> None:
        with World() as world:
            for host in FIRST_HOSTS:
                world.add_daemon(host, 'zg-trnje')
            withdrawn = world.change_table(
                make_table_change(
                    {'version/pult-model/small': {'state': 'withdrawn'}},
                    base_revision=0,
                )
            )
            wait_until(
                lambda: any(
                    offset > withdrawn for offset in snapshot_offsets(world)
                ),
                'a snapshot that includes the withdrawal',
            )
            before = table_of(world, FIRST_HOSTS[0]).fold.dump()
            for stopped in FIRST_HOSTS:
                world.stop_daemon(stopped)
            oldest = snapshot_offsets(world)[0]
            world.log.store.expire_before(TABLE_STREAM, oldest - 1)
            world.add_daemon('entry-3', 'zg-trnje')
            wait_until(
                lambda: not table_of(world, 'entry-3').state.is_empty,
                'the table at the new host',
            )
            assert table_of(world, 'entry-3').fold.dump() == before
            assert table_of(world, 'entry-3').state.is_withdrawn(
                'pult-model', 'small'
            )

    def test_planned_stop_hands_over_the_lease(self) -> None:
        with World() as world:
            for host in FIRST_HOSTS:
                world.add_daemon(host, 'zg-trnje')
            wait_until(lambda: bool(holders(world)), 'a lease holder')
            first = holders(world)[0]
            world.stop_daemon(first)
            wait_until(lambda: bool(holders(world)), 'a new lease holder')
            assert holders(world) != [first]
            log = world.kernels_by_host[holders(world)[0]]
            assert (
                not log.find(LOG, LogService)
                .status()
                .stream_by_name[TABLE_STREAM]
                .is_diverged
            )


def holders(world: World) -> list[str]:
    """Return the hosts that hold the lease for writing snapshots."""
    return [
        host
        for host, kernel in world.kernels_by_host.items()
        if kernel.find(LEASES, LeaseService).status().held
    ]
