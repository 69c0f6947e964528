"""Measure the size, decoding and replica lookup of a host list."""

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
from tools.bench.slopes import fit_line

HOST_COUNTS = (100, 1000, 10_000)
VERSIONS = 12
ROUNDS = 5
MS_PER_S = 1000
KB = 1000
OCTET_VALUES = 256


def measure_hosts() -> None:
    """Print the cost of a poll and of a request's replica lookup."""
    host_lists = [_host_list(count) for count in HOST_COUNTS]
    sizes_bytes = [
        float(len(msgspec.json.encode(host_list))) for host_list in host_lists
    ]
    decode_ms = [_decode_ms(host_list) for host_list in host_lists]
    lookup_ms = [_lookup_ms(host_list) for host_list in host_lists]
    results = zip(HOST_COUNTS, sizes_bytes, decode_ms, lookup_ms, strict=True)
    for hosts, size_bytes, list_decode_ms, list_lookup_ms in results:
        print(
            f'hosts: {hosts:6}  {size_bytes / KB:8.1f} KB per poll  '
            f'decoded in {list_decode_ms:7.2f} ms  '
            f'replicas of a version in {list_lookup_ms:7.2f} ms'
        )
    counts = [float(count) for count in HOST_COUNTS]
    print(f'hosts: {fit_line(counts, sizes_bytes).per_unit:.1f} bytes per host')
    print(
        f'hosts: {fit_line(counts, decode_ms).per_unit * KB:.2f} '
        'us per host to decode'
    )
    print(
        f'hosts: {fit_line(counts, lookup_ms).per_unit * KB:.2f} '
        'us per host to select replicas'
    )


def _host_list(count: int) -> HostList:
    return HostList(tuple(_entry(number) for number in range(count)))


def _entry(number: int) -> HostEntry:
    high, low = divmod(number, OCTET_VALUES)
    return HostEntry(
        host=f'engine-{number}',
        role=HostRole.ENGINE,
        address=f'10.1.{high}.{low}',
        port=8000,
        failure_domain='zg-dubrava',
        serves=(f'pult-model/v{number % VERSIONS}',),
    )


def _decode_ms(host_list: HostList) -> float:
    encoded = msgspec.json.encode(host_list)
    cpu_start_s = time.process_time()
    for _ in range(ROUNDS):
        msgspec.json.decode(encoded, type=HostList)
    return (time.process_time() - cpu_start_s) / ROUNDS * MS_PER_S


def _lookup_ms(host_list: HostList) -> float:
    hosts = HostService.__new__(HostService)
    hosts.hosts_by_name = {entry.host: entry for entry in host_list.hosts}
    kernel: Any = SimpleNamespace(
        settings=SimpleNamespace(section=lambda _: UpstreamSettings()),
        find=lambda *_: hosts,
        stopping=threading.Event(),
    )
    upstreams = UpstreamService(cast(Kernel, kernel))
    upstreams.replicas_serving('pult-model/v1')
    cpu_start_s = time.process_time()
    for _ in range(ROUNDS):
        upstreams.replicas_serving('pult-model/v1')
    return (time.process_time() - cpu_start_s) / ROUNDS * MS_PER_S
