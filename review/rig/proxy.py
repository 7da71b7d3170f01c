"""A TCP proxy whose open connections can go silent for good.

Usage: python3 -m rig.proxy HOST PORT TARGET_HOST TARGET_PORT

SIGUSR1: whatever is sent on the connections that are open now gets lost, in
both directions, and neither end hears of it. New connections work.
"""

import asyncio
import contextlib
import signal
import sys


class Proxy:
    """Relays connections to one target."""

    def __init__(self, host: str, port: int):
        """Create a proxy to a target."""
        self._target = host, port
        self._open: set[asyncio.Event] = set()

    def silence(self) -> None:
        """Let all open connections go silent."""
        for is_silent in self._open:
            is_silent.set()

    async def relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Relay one connection."""
        is_silent = asyncio.Event()
        self._open.add(is_silent)
        far_reader, far_writer = await asyncio.open_connection(*self._target)
        try:
            await asyncio.gather(
                self._pass_on(reader, far_writer, is_silent),
                self._pass_on(far_reader, writer, is_silent),
            )
        finally:
            self._open.discard(is_silent)
            writer.close()
            far_writer.close()

    async def _pass_on(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_silent: asyncio.Event,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                if not is_silent.is_set():
                    writer.write(data)
                    await writer.drain()
            if is_silent.is_set():
                return
            writer.write_eof()


async def main(host: str, port: int, *target: str) -> None:
    """Serve until the process is ended."""
    proxy = Proxy(target[0], int(target[1]))
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, proxy.silence)
    server = await asyncio.start_server(proxy.relay, host, port)
    await server.serve_forever()


if __name__ == '__main__':
    asyncio.run(main(sys.argv[1], int(sys.argv[2]), *sys.argv[3:]))
