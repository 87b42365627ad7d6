"""The body of the request that a connection is reading: collected, or streamed where it is long."""

from __future__ import annotations

import contextlib
import socket
from typing import TYPE_CHECKING

from quota_gateway.net.client.request_parser import BadRequestError
from quota_gateway.net.common.body_stream import BodyStream
from quota_gateway.net.common.http_common import MAX_BUFFERED_BODY, MAX_STREAMED_BODY, STREAM_RECEIVE_BUFFER

if TYPE_CHECKING:
    from quota_gateway.net.client.connection import ClientConnection

BODY_TIMEOUT = 2.05  # seconds in which a body must be complete, unless it keeps ``MIN_BODY_RATE``
SILENCE_TIMEOUT = 2.05  # seconds without a byte: who stops in a body and stays is owed an error within 3 s
MIN_BODY_RATE = 8192  # bytes a second
MAX_BODY_TIME = 5.0  # seconds that a collected body may take even at that rate


class RequestBody:
    """Collects the chunks of one body at a time; of an upload it is the source that can be paused.

    A connection has one of these for all its requests.
    """

    __slots__ = (
        "_chunks",
        "_connection",
        "_last_byte_at",
        "_rate_base_size",
        "_resume_deferred",
        "paused",
        "size",
        "started_at",
        "upload",
    )

    def __init__(self, connection: ClientConnection) -> None:
        """Create the body of a connection's first request."""
        self._connection = connection
        self._chunks = list[bytes]()
        self._rate_base_size = 0  # what had been received at ``started_at``
        self._last_byte_at = 0.0  # or when the upload was last paused or resumed
        self._resume_deferred = False  # the endpoint takes more, once the client is known to be there
        self.paused = False  # by an endpoint that takes no more for now
        self.size = 0  # bytes received
        self.started_at = 0.0  # when the head was complete, or the upload was last paused or resumed
        self.upload: BodyStream | None = None  # where the body is streamed, until it is complete

    def begin(self, now: float) -> None:
        """Start over for the next request, whose head is complete."""
        self._chunks = []
        self._rate_base_size = 0
        self.size = 0
        self.started_at = now
        self._last_byte_at = now

    def append(self, data: bytes) -> None:
        """Take a chunk; raises BadRequestError where an upload exceeds its limit."""
        self.size += len(data)
        self._last_byte_at = self._connection.listener.clock()
        if self.upload is None:
            self._chunks.append(data)
            return
        if self.size > MAX_STREAMED_BODY:
            raise BadRequestError(413, "body too large")
        self.upload.write(data)

    @property
    def is_too_long_to_collect(self) -> bool:
        """Whether the body must be streamed from now on."""
        return self.size > MAX_BUFFERED_BODY and self.upload is None

    def start_upload(self, content_length: int | None) -> BodyStream:
        """Stream the body from here on, beginning with what has been collected."""
        chunks = self._chunks
        self._chunks = []
        upload = self.upload = BodyStream(self, content_length)
        for chunk in chunks:
            upload.write(chunk)
        self._limit_receive_buffer()
        return upload

    def _limit_receive_buffer(self) -> None:
        """Bound what the system holds of an upload."""
        transport = self._connection.transport
        if transport is not None:
            with contextlib.suppress(OSError):
                client_socket = transport.get_extra_info("socket")
                client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, STREAM_RECEIVE_BUFFER)

    def collected(self) -> bytes:
        """All chunks of a body that is not streamed."""
        return b"".join(self._chunks)

    def discard_upload(self) -> None:
        """Forget the upload, whose request has its response already."""
        self.paused = False
        self.upload = None

    def is_overdue(self, now: float, late_head: bool) -> bool:
        """Whether a collected body takes too long.

        A late head leaves its body less time: a bad client must be answered in a time from its connecting.
        """
        if self._is_silent(now):
            return True
        age = now - self.started_at
        if age <= BODY_TIMEOUT and not late_head:
            return False
        return age > MAX_BODY_TIME or self.size < MIN_BODY_RATE * age

    def is_upload_stalled(self, now: float) -> bool:
        """Whether an upload has stopped or is below the least rate, other than because of its endpoint."""
        if self.paused:
            return False
        if self._is_silent(now):
            return True
        age = now - self.started_at
        if age <= BODY_TIMEOUT:
            return False
        return self.size - self._rate_base_size < MIN_BODY_RATE * age

    def _is_silent(self, now: float) -> bool:
        """Whether nothing has come for long, however much came before."""
        return now - self._last_byte_at > SILENCE_TIMEOUT

    def set_paused(self, paused: bool) -> None:
        """Stop or resume reading the upload, as its endpoint takes it."""
        self._resume_deferred = False
        if self.paused is paused:
            return
        now = self._connection.listener.clock()
        if not paused and not self._may_resume(now):
            return
        self.paused = paused
        self.started_at = now
        self._last_byte_at = now
        self._rate_base_size = self.size
        self._connection.update_reading()

    def _may_resume(self, now: float) -> bool:
        """Not for a client that has gone: what it sent before is unread, and would complete the body."""
        connection = self._connection
        if connection.transport is None or connection.liveness.was_seen_recently(now):
            return True
        connection.liveness.poll()
        if connection.transport is None:
            return False
        if connection.liveness.is_in_doubt:
            self._resume_deferred = True
            return False
        return True

    def on_client_confirmed(self) -> None:
        """Resume what waited for the client to prove half-closed and not gone."""
        if self._resume_deferred:
            self.set_paused(False)

    def abandon(self) -> None:
        """Do nothing: what becomes of a request without its endpoint is decided elsewhere."""
