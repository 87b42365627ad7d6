"""The body of the request that a connection is reading: buffered, or streamed if it is long."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from quota_gateway.net.client.request_parser import BadRequestError
from quota_gateway.net.common.body_stream import BodyStream
from quota_gateway.net.common.http_common import MAX_BUFFERED_BODY_BYTES, MAX_STREAMED_BODY_BYTES
from quota_gateway.net.common.memory_budget import MemoryBudget

# A body may take longer than this only if it arrives at ``MIN_BODY_BYTES_PER_SECOND`` or faster.
BODY_TIMEOUT_SECONDS = 2.05
SILENCE_TIMEOUT_SECONDS = 2.05  # a client that stops sending within a body must receive an error within 3 s
MIN_BODY_BYTES_PER_SECOND = 8192
# Longest time in which a buffered body must be complete, even if it arrives at the minimum rate.
MAX_BUFFERING_SECONDS = 5.0


class UploadObserver(Protocol):
    """The connection whose uploads are read."""

    def update_reading(self) -> None:
        """Pause or resume reading the connection, depending on whether the upload is paused."""

    def may_resume_upload(self) -> bool:
        """Whether the client is still connected.

        If it is not, its unread input must not be read: it could complete the body.
        """

    def has_unread_input(self) -> bool:
        """Whether the client has sent something that has not been parsed."""


class RequestBody:
    """Buffers the body of a request, or streams it as an upload; it is the source of the upload's stream.

    A connection has one of these, which it uses for one request after the other. Whenever an upload is paused
    or resumed, the measurement of its rate starts again, and that of its silence if input waits.
    """

    __slots__ = (
        "_budget",
        "_buffer",
        "_clock",
        "_last_byte_at",
        "_observer",
        "_rate_base_size",
        "_resume_deferred",
        "_started_at",
        "paused",
        "size",
        "upload",
    )

    def __init__(self, observer: UploadObserver, clock: Callable[[], float], budget: MemoryBudget) -> None:
        """Create the body of a connection's first request."""
        self._budget = budget
        self._observer = observer
        self._clock = clock
        self._buffer = bytearray()  # not passed on yet
        self._started_at = 0.0  # when the head was complete, or the upload was last paused or resumed
        self._last_byte_at = 0.0  # when a byte last arrived, or the upload was last paused or resumed
        self._rate_base_size = 0  # bytes that had been received at ``_started_at``
        # Whether the endpoint accepts data again, but the client may have disconnected.
        self._resume_deferred = False
        self.paused = False  # whether reading waits until the endpoint accepts more data
        self.size = 0  # bytes received
        self.upload: BodyStream | None = None  # the stream of a long body, until it is complete

    def begin(self) -> None:
        """Reset for the next request, whose head is complete."""
        now = self._clock()
        self._buffer.clear()
        self._rate_base_size = 0
        self._started_at = now
        self._last_byte_at = now
        self.size = 0

    def append(self, data: bytes) -> None:
        """Append a chunk; raise BadRequestError if an upload exceeds its limit."""
        self.size += len(data)
        self._last_byte_at = self._clock()
        if self.upload is not None and self.size > MAX_STREAMED_BODY_BYTES:
            raise BadRequestError(413, "body too large")
        self._buffer += data

    def flush(self) -> None:
        """Pass what was appended to the upload, if there is one.

        Chunks are collected before: they may be as small as a byte.
        """
        upload = self.upload
        if upload is not None and self._buffer:
            data = bytes(self._buffer)
            self._buffer.clear()
            upload.write(data)

    @property
    def used_bytes(self) -> int:
        """The memory that the body uses."""
        buffered = len(self._buffer)
        return buffered if self.upload is None else buffered + self.upload.buffered_size

    @property
    def is_too_long_to_buffer(self) -> bool:
        """Whether the body must be streamed from now on."""
        return self.size > MAX_BUFFERED_BODY_BYTES and self.upload is None

    def start_upload(self, content_length: int | None) -> BodyStream:
        """Stream the body from now on, beginning with what has been buffered."""
        upload = self.upload = BodyStream(self, content_length, self._budget, reads_ahead=True)
        self.flush()
        return upload

    def buffered(self) -> bytes:
        """Return the body if it is not streamed."""
        return bytes(self._buffer)

    def release(self) -> None:
        """Drop what was buffered: no request follows from it."""
        self._buffer.clear()

    def end_upload(self) -> BodyStream:
        """Release and return the upload, which has been received completely."""
        upload = self.upload
        assert upload is not None
        self.flush()
        self.upload = None
        return upload

    def discard_upload(self) -> None:
        """Release the upload, whose request has already been answered."""
        self.paused = False
        self.upload = None
        self._buffer.clear()

    # Timeouts.

    def is_overdue(self, now: float, *, head_timeout_passed: bool) -> bool:
        """Whether a buffered body takes too long to arrive.

        Once the head's timeout has passed, a body of any age must have arrived at the minimum rate: a faulty
        client must be answered within 3 s of its connect.
        """
        if self._is_silent(now):
            return True
        age = now - self._started_at
        if age <= BODY_TIMEOUT_SECONDS and not head_timeout_passed:
            return False
        return age > MAX_BUFFERING_SECONDS or self.size < MIN_BODY_BYTES_PER_SECOND * age

    def exclude_pause(self, now: float, seconds: float) -> None:
        """Do not count the last ``seconds``, in which no input was read; uploads measure their pauses."""
        if self.upload is None:
            self._started_at = min(now, self._started_at + seconds)
            self._last_byte_at = min(now, self._last_byte_at + seconds)

    def is_upload_stalled(self, now: float) -> bool:
        """Whether the client has stopped sending an upload or sends it too slowly."""
        if self.paused:
            return False
        if self._is_silent(now):
            return True
        age = now - self._started_at
        if age <= BODY_TIMEOUT_SECONDS:
            return False
        return self.size - self._rate_base_size < MIN_BODY_BYTES_PER_SECOND * age

    def _is_silent(self, now: float) -> bool:
        return now - self._last_byte_at > SILENCE_TIMEOUT_SECONDS

    # The source of the upload's stream.

    def set_paused(self, *, paused: bool) -> None:
        """Pause or resume reading the upload, depending on whether the endpoint accepts more data."""
        self._resume_deferred = False
        if self.paused is paused:
            return
        if not paused and not self._observer.may_resume_upload():
            self._resume_deferred = True
            return
        now = self._clock()
        self.paused = paused
        self._started_at = now
        self._rate_base_size = self.size
        if self._observer.has_unread_input():  # otherwise the client has been silent although it could send
            self._last_byte_at = now
        self._observer.update_reading()

    def on_client_confirmed(self) -> None:
        """Resume an upload whose resume was deferred until the client was confirmed to be half-closed."""
        if self._resume_deferred:
            self.set_paused(paused=False)

    def abandon(self) -> None:
        """Do nothing: when no endpoint receives the upload any more, the decisions determine the response."""
