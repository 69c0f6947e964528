"""A stream that may not be resumed runs twice if its first model is unsure.

The route names its models and has no `can_resume`, so each request may run once
at most. The replicas answer with a low or a high confidence.
"""

import asyncio
import contextlib
import pathlib

from review.standins import (
    Deployment,
    Message,
    Record,
    Replica,
    encode_request,
    encode_response,
    is_troubled,
    new_request_id,
    read_chunks,
    read_head,
    route,
    run_script,
)

FOLDER = pathlib.Path(__file__).resolve().parent
MODELS = ['daka510000', 'rada7437b5', 'ravo486f6a']
REQUESTS = 10
EVENTS = 8
EVENT_PAUSE_S = 0.02
LOW_CONFIDENCE = 20
HIGH_CONFIDENCE = 95


async def answer_stream(
    replica: Replica, request: Message, writer: asyncio.StreamWriter
) -> None:
    """Run a request and stream its events; larger models are surer."""
    model = request.headers.get('model', '')
    if model not in MODELS:
        headers = {'Request-Id': request.request_id}
        writer.write(encode_response(421, headers))
        return
    replica.note_run(request)
    is_unsure = is_troubled() and model == MODELS[0]
    confidence = LOW_CONFIDENCE if is_unsure else HIGH_CONFIDENCE
    replica.record.note(
        f'run      {request.request_id} with model {model}, confidence '
        f'{confidence}'
    )
    headers = {
        **replica.headers(request),
        'Confidence': str(confidence),
        'Content-Type': 'text/event-stream',
        'Transfer-Encoding': 'chunked',
    }
    lines = ''.join(f'{name}: {text}\r\n' for name, text in headers.items())
    writer.write(f'HTTP/1.1 200 OK\r\n{lines}\r\n'.encode())
    for number in range(1, EVENTS + 1):
        event = f'id: {number}\ndata: {replica.name} {number}\n\n'.encode()
        writer.write(b'%x\r\n%b\r\n' % (len(event), event))
        await writer.drain()
        await asyncio.sleep(EVENT_PAUSE_S)
    writer.write(b'0\r\n\r\n')


async def request_stream(
    address: tuple[str, int], request_id: str, record: Record
) -> None:
    """Send one request and record its answer."""
    reader, writer = await asyncio.open_connection(*address)
    record.note(f'sent     {request_id}')
    writer.write(
        encode_request(
            'POST',
            '/quotes/2f',
            request_id,
            Model='*',
            Token_Count='628,80',
            Prefix_Hash=f'5c1e07a2:198,{request_id}:430',
            Request_Deadline='20000',
        )
    )
    events = 0
    async with asyncio.timeout(20):
        head = await read_head(reader)
        with contextlib.suppress(asyncio.IncompleteReadError, ValueError):
            if 'transfer-encoding' in head.headers:
                async for chunk in read_chunks(reader):
                    events += chunk.count(b'id: ')
    record.note(
        f'answered {request_id}: status {head.status}, {events} events, '
        f'{head.headers.get("response-seal", "no seal")}'
    )
    writer.close()


async def scenario(folder: pathlib.Path, record: Record) -> bool:
    """Return whether every request ran once at most."""
    routes = [
        route(
            'quotes',
            'streaming',
            service='pult-model',
            sizes=MODELS,
            sticky=True,
            max_attempts=3,
            timeout_ms=20_000,
            slo_ms=3000,
            priority=1,
            itl_target_ms=1200,
        )
    ]
    async with Deployment(folder, record, routes) as deployment:
        for number in range(6):
            zone = f'zone-{"abc"[number % 3]}'
            name = f'i-{number}'
            replica = await deployment.add_replica(name, 'pult-model', zone)
            replica.handler = answer_stream
        await deployment.start_gateways(3, deployment.store.address)
        for number in range(REQUESTS):
            gateway = deployment.gateways[number % 3]
            address = (gateway.ip, gateway.port)
            await request_stream(address, new_request_id(), record)
        runs = [
            request.request_id
            for replica in deployment.replicas
            for request in replica.runs
        ]
        twice = sorted({name for name in runs if runs.count(name) > 1})
        record.note(f'{len(set(runs))} requests ran, more than once: {twice}')
        return bool(runs) and not twice


if __name__ == '__main__':
    run_script(FOLDER, scenario)
