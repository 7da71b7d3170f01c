"""A replica of a service without a model, as a process of its own.

It registers in the store, writes there again and again, and answers requests.
What it runs and answers goes to a log, a line of JSON each.
"""

import argparse
import asyncio
import hashlib
import json
import time

from rig_2 import messages

HEARTBEAT_SECONDS = 1.2
SLOTS = 6
QUEUE = 4
BODY_BYTES = 1600
# Paths below it are answered with streams.
STREAMS = '/lohu930/'
EVENTS = 40
EVENT_MS = 100


def body_of(request: str, server: str) -> bytes:
    """Return the whole body of a replica's answer to a request."""
    digest = hashlib.sha256(f'{request} {server}'.encode()).hexdigest()
    text = f'{server} answers {request}: ' + digest * 40
    return text[: BODY_BYTES - 4].encode() + b' END'


def event_of(request: str, number: int) -> bytes:
    """Return an event of the answer to a request."""
    return f'id: {number}\ndata: piece {number} of {request}\n\n'.encode()


def digest_of(body: bytes) -> str:
    """Return what names the body of a request in the log."""
    return hashlib.sha256(body).hexdigest()[:12]


class Replica:
    """One start of a replica."""

    def __init__(self, options: argparse.Namespace):
        """Create a replica that is not registered."""
        self.options = options
        self.running = 0
        self.answered = 0
        self.log = open(options.log, 'a', encoding='utf-8')  # noqa: SIM115

    def write(self, what: str, **fields: object) -> None:
        """Write a line to the log."""
        line = {
            'at': round(time.time(), 4),
            'server': self.options.id,
            'what': what,
            **fields,
        }
        print(json.dumps(line), file=self.log, flush=True)

    async def register(self, port: int) -> None:
        """Write the replica's entry again and again."""
        sequence = 0
        began = int(time.time() * 1000)
        while True:
            sequence += 1
            spec = {
                'service': self.options.service,
                'address': f'127.0.0.1:{port}',
                'zone': self.options.zone,
                'version': 'v1',
                'slots': self.options.slots,
                'state': 'ready',
                'cold-remaining-ms': 0,
                'sequence': sequence,
                'born': began,
            }
            body = {'metadata': {'name': self.options.id}, 'spec': spec}
            if await self._call('PUT', f'/{self.options.id}', body) == 404:
                await self._call('POST', '', body)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _call(self, method: str, path: str, body: object) -> int:
        host, port = self.options.store.split(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            data = json.dumps(body).encode()
            writer.write(
                messages.encode(
                    f'{method} /api/objects/servers{path} HTTP/1.1',
                    {'host': host, 'content-length': str(len(data))},
                    data,
                )
            )
            return (await messages.read_answer(reader)).status
        finally:
            writer.close()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests on one connection."""
        try:
            while True:
                request = await messages.read_request(reader)
                if await self._answer(request, writer):
                    return
                await writer.drain()
                if request.fields.get('connection', '').lower() == 'close':
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(
        self, request: messages.Message, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer a request; return whether the connection must end."""
        own = {messages.INSTANCE: self.options.id}
        if request.words[1] == '/health':
            writer.write(messages.answer(200, own))
            return False
        expected = request.fields.get(messages.EXPECTED_INSTANCE)
        if expected and expected != self.options.id:
            writer.write(messages.answer(421, own))
            return False
        if self.running >= self.options.slots + QUEUE:
            writer.write(messages.answer(503, {messages.NOT_RUN: '1'}))
            return False
        self.running += 1
        try:
            return await self._run(request, writer)
        finally:
            self.running -= 1

    async def _run(
        self, request: messages.Message, writer: asyncio.StreamWriter
    ) -> bool:
        name = request.fields.get(messages.REQUEST_ID, '')
        self.write(
            'runs',
            request=name,
            method=request.words[0],
            target=request.words[1],
            body_bytes=len(request.body),
            digest=digest_of(request.body),
        )
        await asyncio.sleep(self.options.work_ms / 1000)
        if request.words[1].startswith(STREAMS):
            return await self._stream(request, writer)
        body = body_of(name, self.options.id)
        fields = {
            messages.REQUEST_ID: name,
            messages.SEAL: f'3e1b.07.{self.options.id}',
            'content-type': 'text/plain',
        }
        self.answered += 1
        if self.answered == self.options.spoil_answer:
            fields['content-length'] = self.options.spoiled_length
            writer.write(messages.encode('HTTP/1.1 200 OK', fields, body))
            self.write('spoils its answer', request=name)
            return True
        writer.write(messages.answer(200, fields, body))
        self.write('answers', request=name)
        return False

    async def _stream(
        self, request: messages.Message, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer with events that end with the connection."""
        name = request.fields.get(messages.REQUEST_ID, '')
        last = int(request.fields.get(messages.LAST_EVENT, '0'))
        fields = {
            messages.REQUEST_ID: name,
            messages.SEAL: f'3e1b.07.{self.options.id}',
            'content-type': 'text/event-stream',
        }
        writer.write(messages.encode('HTTP/1.1 200 OK', fields))
        for number in range(last + 1, EVENTS + 1):
            writer.write(event_of(name, number))
            await writer.drain()
            await asyncio.sleep(EVENT_MS / 1000)
        self.write('has sent all', request=name)
        return True


async def run(options: argparse.Namespace) -> None:
    """Serve until the process is killed."""
    replica = Replica(options)
    server = await asyncio.start_server(replica.serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    print(port, flush=True)
    await replica.register(port)


def main() -> None:
    """Run a replica with the options of the command line."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--id', required=True)
    parser.add_argument('--service', required=True)
    parser.add_argument('--zone', required=True)
    parser.add_argument('--store', required=True)
    parser.add_argument('--log', required=True)
    parser.add_argument('--work-ms', type=float, default=30.0)
    parser.add_argument('--slots', type=int, default=SLOTS)
    parser.add_argument('--spoil-answer', type=int, default=0)
    parser.add_argument('--spoiled-length', default='')
    asyncio.run(run(parser.parse_args()))


if __name__ == '__main__':
    main()
