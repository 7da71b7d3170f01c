"""One spoiled answer of a replica, after which the gateway must serve on."""

import asyncio
import sys
import time

from rig_2 import deployment
from rig_2 import messages

# Of the routes; the clients wait for longer.
TIMEOUT_SECONDS = 1.0
DEADLINE_SECONDS = 2.0
# After its route's timeout, a request must have its answer by then.
SLACK_SECONDS = 0.5
CLIENTS = 12
PAUSE_SECONDS = 0.5
# Answers that the faulty replica gives; the last of them is spoiled. The page
# allows 2 in 100.
SPOILED_ANSWER = 60
SECONDS_AFTER = 8.0
# A length named a dozen times, with an empty element at the end.
SPOILED_LENGTH = ', '.join(['0000001600'] * 12) + ','
LEAST_REQUESTS = 8


class Client:
    """A client that keeps its connection, and opens a new one if it must."""

    def __init__(self, found: deployment.Deployment, number: int):
        """Create a client without a connection."""
        self.found = found
        self.number = number
        self.count = 0
        self.writer = None
        # Seconds until the answer, None for none within the deadline.
        self.results: list[tuple[float, float | None]] = []

    async def run(self) -> None:
        """Send one request after the other."""
        await asyncio.sleep(self.number * PAUSE_SECONDS / CLIENTS)
        while True:
            await self._ask()
            await asyncio.sleep(PAUSE_SECONDS)

    async def _ask(self) -> None:
        self.count += 1
        name = f'c{self.number}-{self.count}'
        request = deployment.lookup(name, DEADLINE_SECONDS)
        if self.count % 3 == 0:
            request = deployment.confirm(name, DEADLINE_SECONDS, b'x' * 600)
        began = time.monotonic()
        self.found.note(f'client sends {name}')
        try:
            answer = await asyncio.wait_for(
                self._exchange(request), DEADLINE_SECONDS
            )
        except (OSError, TimeoutError, messages.Incomplete) as error:
            self._drop()
            self.results.append((began, None))
            self.found.note(f'{name} has no answer: {type(error).__name__}')
            return
        took = time.monotonic() - began
        self.results.append((began, took))
        self.found.note(f'{name} answered {answer.status} after {took:.3f} s')
        if answer.fields.get('connection', '').lower() == 'close':
            self._drop()

    async def _exchange(self, request: bytes) -> messages.Message:
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(
                '127.0.0.1', self.found.front
            )
        self.writer.write(request)
        return await messages.read_answer(self.reader)

    def _drop(self) -> None:
        if self.writer is not None:
            self.writer.close()
            self.writer = None


def spoiled_at(found: deployment.Deployment) -> bool:
    """Return whether the faulty replica has given its spoiled answer."""
    lines = found.replica_lines()
    if found.trouble:
        return any(line['what'] == 'spoils its answer' for line in lines)
    answers = [line for line in lines if line['what'] == 'answers']
    return sum(x['server'] == 'i-1' for x in answers) >= SPOILED_ANSWER


async def play(found: deployment.Deployment) -> bool:
    """Return whether the gateway goes on to answer."""
    timeout_ms = int(TIMEOUT_SECONDS * 1000)
    found.start_store(deployment.configuration(timeout_ms))
    spoils = ['--spoil-answer', str(SPOILED_ANSWER)] if found.trouble else []
    found.start_replica('i-1', '--spoiled-length', SPOILED_LENGTH, *spoils)
    found.start_replica('i-2')
    found.start_replica('i-3')
    found.add_gateway()
    await found.wait_until_served()
    clients = [Client(found, number) for number in range(CLIENTS)]
    tasks = [asyncio.create_task(client.run()) for client in clients]
    until = time.monotonic() + 60
    while not spoiled_at(found):
        await asyncio.sleep(0.1)
        if time.monotonic() > until:
            raise deployment.CannotRun('the faulty replica got no requests')
    since = time.monotonic()
    found.note('the faulty replica has given its last odd answer')
    await asyncio.sleep(SECONDS_AFTER)
    is_ready = await found.is_ready()
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    found.note(f'the ready address answers 200: {is_ready}')
    found.note(f'the process has ended: {found.gateway.poll() is not None}')
    took = [
        seconds
        for client in clients
        for began, seconds in client.results
        if began >= since
    ]
    at_timeout = [s for s in took if s is None or s > TIMEOUT_SECONDS]
    limit = TIMEOUT_SECONDS + SLACK_SECONDS
    later = [s for s in at_timeout if s is None or s > limit]
    found.record_replicas()
    found.note(
        f'sent after it: {len(took)}, unanswered at their timeout: '
        f'{len(at_timeout)}, half a second later: {len(later)}'
    )
    if not took:
        raise deployment.CannotRun('no request was sent')
    return len(later) < LEAST_REQUESTS or len(later) * 2 <= len(at_timeout)


if __name__ == '__main__':
    sys.exit(deployment.play(__file__, play))
