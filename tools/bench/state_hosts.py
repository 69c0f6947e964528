"""Cost of the host list: its bytes, its decoding and the choice from it."""

import threading
import time
from types import SimpleNamespace
from typing import Any, cast

import msgspec

from marigoldhoist.components.hosts.models import (
    HostEntry,
    HostList,
    HostRole,
)
from marigoldhoist.components.hosts.service import HostService
from marigoldhoist.components.upstreams.service import UpstreamService
from marigoldhoist.components.upstreams.settings import UpstreamSettings
from marigoldhoist.core.kernel import Kernel
from tools.bench.slopes import fit

HOST_COUNTS = (100, 1000, 10_000)
VERSIONS = 12
ROUNDS = 5
MS_PER_S = 1000
KB = 1000
OCTET = 256


def measure_hosts() -> None:
    """Print the cost of one reading and of one request's choice."""
    lists = [_host_list(count) for count in HOST_COUNTS]
    sizes = [float(len(msgspec.json.encode(one))) for one in lists]
    decode_ms = [_decode_ms(one) for one in lists]
    choice_ms = [_choice_ms(one) for one in lists]
    measured = zip(HOST_COUNTS, sizes, decode_ms, choice_ms, strict=True)
    for hosts, size, decoding, choosing in measured:
        print(
            f'hosts: {hosts:6}  {size / KB:8.1f} KB a reading  '
            f'decoded in {decoding:7.2f} ms  '
            f'replicas of a version in {choosing:7.2f} ms'
        )
    counts = [float(count) for count in HOST_COUNTS]
    print(f'hosts: {fit(counts, sizes).per_unit:.1f} bytes a host')
    print(f'hosts: {fit(counts, decode_ms).per_unit * KB:.2f} us a host read')
    print(f'hosts: {fit(counts, choice_ms).per_unit * KB:.2f} us a host chosen')


def _host_list(count: int) -> HostList:
    return HostList(tuple(_entry(number) for number in range(count)))


def _entry(number: int) -> HostEntry:
    high, low = divmod(number, OCTET)
    return HostEntry(
        host=f'engine-{number}',
        role=HostRole.ENGINE,
        address=f'10.1.{high}.{low}',
        port=8000,
        failure_domain='zg-dubrava',
        serves=(f'pult-model/v{number % VERSIONS}',),
    )


def _decode_ms(listed: HostList) -> float:
    encoded = msgspec.json.encode(listed)
    begun_s = time.process_time()
    for _ in range(ROUNDS):
        msgspec.json.decode(encoded, type=HostList)
    return (time.process_time() - begun_s) / ROUNDS * MS_PER_S


def _choice_ms(listed: HostList) -> float:
    hosts = HostService.__new__(HostService)
    hosts.hosts_by_name = {entry.host: entry for entry in listed.hosts}
    found: Any = SimpleNamespace(
        settings=SimpleNamespace(section=lambda _: UpstreamSettings()),
        find=lambda *_: hosts,
        stopping=threading.Event(),
    )
    upstreams = UpstreamService(cast(Kernel, found))
    upstreams.replicas_serving('pult-model/v1')
    begun_s = time.process_time()
    for _ in range(ROUNDS):
        upstreams.replicas_serving('pult-model/v1')
    return (time.process_time() - begun_s) / ROUNDS * MS_PER_S
