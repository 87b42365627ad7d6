"""An endpoint that reads nothing until it is resumed, and uploads that wait for it."""

from __future__ import annotations

import asyncio
import socket

from soak.http_bodies import read_body
from tests.client_helpers import wait_for_connections
from tests.http_bodies import read_head, upload_head
from tests.loopback import OK_RESPONSE, LoopbackLimiter, pause_reading, resume_reading


class PausedEndpoint:
    """Reads nothing until it is resumed.

    ``body_size`` then becomes the size of the request body in bytes, or 0 if the body was truncated.
    """

    def __init__(self) -> None:
        self.resume = asyncio.Event()
        self.body_size: asyncio.Future[int] = asyncio.get_running_loop().create_future()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        pause_reading(writer)
        await self.resume.wait()
        resume_reading(writer)
        _, headers = await read_head(reader)
        try:
            self.body_size.set_result(len(await read_body(reader, headers)))
            writer.write(OK_RESPONSE)
        except (asyncio.IncompleteReadError, OSError, ValueError):
            self.body_size.set_result(0)


async def upload_until_backpressure(
    client: socket.socket, limiter: LoopbackLimiter, timeout_ms: int = 60_000
) -> int:
    """Send a body whose end the limiter does not read because of backpressure; return the body's size."""
    client.sendall(upload_head("chunked", 0, timeout_ms))
    (connection,) = await wait_for_connections(limiter)
    client.sendall(b"10000\r\n" + b"x" * 0x10000 + b"\r\n1\r\nx\r\n")  # long enough to be streamed
    size = 0x10001
    while True:
        pending = list(limiter.dispatcher.requests.open_requests())
        if pending and pending[0].attempts[0].connection:
            break
        await asyncio.sleep(0)
    while connection.pipeline.reader.body.paused or connection.pipeline.reader.body.size < size:
        await asyncio.sleep(0)
    chunk = b"x" * 8192
    while not connection.pipeline.reader.body.paused:  # each chunk is read before the next is sent
        client.sendall(b"%x\r\n%b\r\n" % (len(chunk), chunk))
        size += len(chunk)
        while connection.pipeline.reader.body.size < size and not connection.pipeline.reader.body.paused:
            await asyncio.sleep(0)
    client.sendall(b"0\r\n\r\n")
    return size
