"""Loopback TCP proxy in front of one address; injects faults into its connections."""

import asyncio
import socket
import struct

POLL_INTERVAL_S = 0.01


class Proxy:
    """Forwards connections to `server_address`, a (host, port) pair.

    Changes of `mode` and `delay_s` also apply to open connections, but mode refuse resets only new ones; open ones
    then behave as in mode pass.

    Modes: pass, delay (each chunk by `delay_s`), silent (no data in either direction), to_server_blocked and
    from_server_blocked (no data in that direction), refuse (reset new connections).
    """

    def __init__(self, server_address):
        self.server_address = server_address
        self.mode = "pass"
        self.delay_s = 0.0
        self.connections = set()
        self.muted = set()  # connections that transfer no more data

    async def start(self, host, port):
        self.server = await asyncio.start_server(self.accept, host, port)

    def reset(self, share, random):
        """Resets a share of the open connections."""
        for writer in list(self.connections):
            if random.random() < share:
                abort(writer)

    def mute(self, share, random):
        """Stops the data of a share of the open connections permanently, without closing them."""
        self.muted |= {writer for writer in self.connections if random.random() < share}

    async def accept(self, reader, writer):
        if self.mode == "refuse":
            abort(writer)
            return
        try:
            server_reader, server_writer = await asyncio.open_connection(*self.server_address)
        except OSError:
            abort(writer)
            return
        self.connections.add(writer)
        pumps = [asyncio.create_task(self.pump(reader, server_writer, writer, "to_server_blocked")),
                 asyncio.create_task(self.pump(server_reader, writer, writer, "from_server_blocked"))]
        await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        for pump in pumps:
            pump.cancel()
        self.connections.discard(writer)
        self.muted.discard(writer)
        abort(writer)
        abort(server_writer)

    async def pump(self, reader, writer, connection, blocked_mode):
        try:
            while True:
                data = await reader.read(65536)
                while self.mode in ("silent", blocked_mode) or connection in self.muted:
                    await asyncio.sleep(POLL_INTERVAL_S)
                if not data:
                    return
                if self.mode == "delay":
                    await asyncio.sleep(self.delay_s)
                writer.write(data)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            return


def abort(writer):
    """Closes a connection with a reset."""
    raw = writer.get_extra_info("socket")
    try:
        if raw is not None:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    except OSError:
        pass  # already closed
    writer.transport.abort()
