"""A blocking request for the complete endpoint list, for decisions that cannot wait for the event loop."""

from __future__ import annotations

import logging
import socket
import time

import httptools

from quota_gateway.net.common.socket_calls import READ_BYTES
from quota_gateway.net.discovery.watch_event import WatchEvent, decode_watch_event

log = logging.getLogger(__name__)

STATUS_OK = 200


class _ListResponse:
    """The response to one request; the parser calls the ``on_`` methods."""

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self.body = b""
        self.is_complete = False

    def feed(self, data: bytes) -> None:
        """Parse a part of the response; an empty part is the end of the connection."""
        if not data:
            raise ConnectionError("discovery closed the connection")
        self._parser.feed_data(data)

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        self.body += body

    def on_message_complete(self) -> None:
        """Record the end of the response."""
        self.is_complete = True

    def event(self) -> WatchEvent | None:
        """Return the list; None if the status says that there is none."""
        if self._parser.get_status_code() != STATUS_OK:
            return None
        return decode_watch_event(self.body)


def fetch_list(host: str, port: int, timeout: float) -> WatchEvent | None:
    """Return discovery's complete list; None if it cannot be had within ``timeout`` seconds.

    The calling thread is blocked meanwhile.
    """
    try:
        return _fetch(host, port, time.monotonic() + timeout)
    except (OSError, ValueError, RecursionError, httptools.HttpParserError) as error:
        log.info("discovery has not confirmed the endpoint list after a stall: %r", error)
        return None


def _fetch(host: str, port: int, deadline: float) -> WatchEvent | None:
    with socket.create_connection((host, port), _remaining(deadline)) as connection:
        head = f"GET /v1/servers HTTP/1.1\r\nHost: {host}:{port}\r\nConnection: close\r\n\r\n"
        connection.sendall(head.encode())
        response = _ListResponse()
        while not response.is_complete:
            connection.settimeout(_remaining(deadline))
            response.feed(connection.recv(READ_BYTES))
        return response.event()


def _remaining(deadline: float) -> float:
    remaining = deadline - time.monotonic()
    if remaining <= 0:
        raise TimeoutError("discovery responds too slowly")
    return remaining
