"""An endpoint that records what it runs."""

from __future__ import annotations

import asyncio

from soak.http_bodies import read_body
from tests.http_bodies import read_head
from tests.loopback import OK_RESPONSE


class RecordingEndpoint:
    """Serves each request and records its first line and its body."""

    def __init__(self) -> None:
        self.requests = list[tuple[str, bytes]]()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        while True:
            first_line, headers = await read_head(reader)
            body = await read_body(reader, headers) if first_line.startswith("POST") else b""
            self.requests.append((first_line, body))
            writer.write(OK_RESPONSE)
