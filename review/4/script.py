"""A key that was taken away works again after a cut from the store.

While the gateways are cut off from the store, the operator writes some versions
of a long configuration, and then one that takes a key away. The first read
after the cut holds only the first 1,024 KB of them.
"""

import asyncio
import contextlib
import pathlib
import time

from review.standins import (
    KEY,
    Deployment,
    Message,
    Record,
    encode_request,
    is_troubled,
    new_request_id,
    read_message,
    route,
    run_script,
)
from tools.platform_standins.http import ReceivedRequest
from tools.platform_standins.store import (
    LENGTH,
    OFFSETS,
    OPERATOR_TOPIC,
    StandInStore,
    TopicLog,
)

FOLDER = pathlib.Path(__file__).resolve().parent
REVOKED_KEY = 'anfqasnmgkcuyj8pjbvk'
# Limits of the platform's store.
MAX_READ_KB = 1024
MAX_RECORD_BYTES = 262_144
ANSWER_S = 0.004
CUT_S = 6.0
REVOKE_S = 5.0
BIG_CONFIGS = 3
ROUTES_OF_BIG_CONFIG = 350
CHANGES = 6
CHANGE_PAUSE_S = 0.05
CLIENTS = 8
CLIENT_PAUSE_S = 0.01


class LimitedStore(StandInStore):
    """The store with the limit of a read that the pages name."""

    async def _read(self, topic: TopicLog, request: ReceivedRequest) -> bytes:
        answer = await super()._read(topic, request)
        head, _, body = answer.partition(b'\r\n\r\n')
        if b' 200 ' not in head[:16]:
            return answer
        limit = int(request.query.get('max_kb', MAX_READ_KB)) * 1024
        end = OFFSETS.size
        while end < len(body):
            length = LENGTH.size + LENGTH.unpack_from(body, end)[0]
            if end + length > OFFSETS.size + limit:
                break
            end += length
        return self._encode(200, body=body[:end])


class Clients:
    """Clients that go on to use one key."""

    def __init__(self, deployment: Deployment, record: Record) -> None:
        self._deployment = deployment
        self._record = record
        self.sent_s_by_id: dict[str, float] = {}
        self.statuses: dict[int, int] = {}

    async def run(self, number: int) -> None:
        """Send requests with the key until cancelled."""
        gateways = self._deployment.gateways
        gateway = gateways[number % len(gateways)]
        while True:
            reader, writer = await asyncio.open_connection(
                gateway.ip, gateway.port
            )
            ended = (ConnectionError, asyncio.IncompleteReadError)
            with contextlib.suppress(*ended):
                while True:
                    await self._exchange(reader, writer)
                    await asyncio.sleep(CLIENT_PAUSE_S)
            writer.close()

    async def _exchange(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        request_id = new_request_id()
        self.sent_s_by_id[request_id] = time.monotonic()
        writer.write(
            encode_request(
                'GET', '/orders/status', request_id, X_Api_Key=REVOKED_KEY
            )
        )
        response: Message = await read_message(reader)
        count = self.statuses.get(response.status, 0)
        self.statuses[response.status] = count + 1


def grow(deployment: Deployment) -> None:
    """Add as many routes as `big_config` does, three times over."""
    deployment.routes = [
        *deployment.routes,
        *(
            route(f'r-{index:07d}', 'safe', max_attempts=2)
            for index in range(BIG_CONFIGS * ROUTES_OF_BIG_CONFIG)
        ),
    ]


async def change_routes(deployment: Deployment, record: Record) -> None:
    """Write some versions with other timeouts."""
    for number in range(CHANGES):
        for row in deployment.routes[1:]:
            row['timeout_ms'] = 2000 + number
        await deployment.put_configuration()
        await asyncio.sleep(CHANGE_PAUSE_S)
    topic = deployment.store.topic_by_name[OPERATOR_TOPIC]
    sizes = [len(raw) for raw in topic.records[-CHANGES:]]
    record.note(f'operator has written versions of {sizes} bytes')
    if max(sizes) > MAX_RECORD_BYTES:
        raise ValueError('longer than a record may be')


async def scenario(folder: pathlib.Path, record: Record) -> bool:
    """Return whether no request with the key ran after its time."""
    routes = [route('orders', 'safe', max_attempts=2)]
    deployment = Deployment(folder, record, routes)
    deployment.store = LimitedStore()
    deployment.store.delay_s = ANSWER_S
    deployment.keys = [KEY, REVOKED_KEY]
    async with deployment:
        for number in range(3):
            await deployment.add_replica(f'i-{number}', 'pult-narudzbe')
        host, _, port = deployment.store.address.partition(':')
        link = await deployment.add_link((host, int(port)))
        await deployment.start_gateways(3, link.address, zones='a')
        clients = Clients(deployment, record)
        tasks = [
            asyncio.create_task(clients.run(number))
            for number in range(CLIENTS)
        ]
        await asyncio.sleep(2)
        grow(deployment)
        await deployment.put_configuration()
        await asyncio.sleep(1)
        cut_s = time.monotonic()
        if is_troubled():
            record.note(f'gateways are cut off from the store for {CUT_S} s')
            link.cut()
        await change_routes(deployment, record)
        deployment.keys = [KEY]
        await deployment.put_configuration()
        revoked_s = time.monotonic()
        record.note('operator takes the key away, acknowledged')
        await asyncio.sleep(cut_s + CUT_S - time.monotonic())
        link.heal()
        record.note('cut has healed')
        await asyncio.sleep(3)
        for task in tasks:
            task.cancel()
        record.note(f'answers by status: {clients.statuses}')
        late = {
            run.request_id: sent_s - revoked_s
            for replica in deployment.replicas
            for run in replica.runs
            if (sent_s := clients.sent_s_by_id[run.request_id])
            > revoked_s + REVOKE_S
        }
        for request_id, after_s in late.items():
            record.note(
                f'{request_id} ran though it was sent {after_s:.3f} s after '
                'the acknowledgement'
            )
        return not late


if __name__ == '__main__':
    run_script(FOLDER, scenario)
