"""Loopback proxy in front of one address of a process; injects faults into its connections."""

import asyncio
import socket
import struct

GATE_INTERVAL_S = 0.01


class Proxy:
    """Forwards connections to `target`; `mode` and `delay_s` apply to open connections as well.

    Modes: pass, delay, silent, to_server_blocked, from_server_blocked, refuse (new connections).
    """

    def __init__(self, target):
        self.target = target
        self.mode = "pass"
        self.delay_s = 0.0
        self.connections = set()
        self.muted = set()  # connections that stay silent for good

    async def start(self, host, port):
        self.server = await asyncio.start_server(self.accept, host, port)

    def reset(self, share, random):
        """Resets a share of the open connections."""
        for writer in list(self.connections):
            if random.random() < share:
                abort(writer)

    def mute(self, share, random):
        """Makes a share of the open connections silent without closing them."""
        self.muted |= {writer for writer in self.connections if random.random() < share}

    async def accept(self, reader, writer):
        if self.mode == "refuse":
            abort(writer)
            return
        try:
            server_reader, server_writer = await asyncio.open_connection(*self.target)
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

    async def pump(self, reader, writer, connection, blocked):
        try:
            while True:
                data = await reader.read(65536)
                while self.mode in ("silent", blocked) or connection in self.muted:
                    await asyncio.sleep(GATE_INTERVAL_S)
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
        pass  # closed already
    writer.transport.abort()
