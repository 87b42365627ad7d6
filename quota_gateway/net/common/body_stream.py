"""Streaming of long bodies with backpressure: neither side is read faster than the other one is written."""

from __future__ import annotations

from typing import Protocol

from quota_gateway.net.common.http_common import MAX_BUFFERED_BODY


class BodySource(Protocol):
    """The connection that a body is read from."""

    def set_paused(self, paused: bool) -> None:
        """Stop reading, or resume it."""

    def abandon(self) -> None:
        """Drop the rest of the body: nobody reads it any more."""


class BodySink(Protocol):
    """The connection that a body is written to.

    It reports by ``BodyStream.set_writable`` whether it takes more.
    """

    def write_chunk(self, data: bytes) -> None:
        """Write the next bytes of the body."""

    def finish(self) -> None:
        """End the body: it is complete."""

    def truncate(self) -> None:
        """Break the body off: its source failed before the end."""


class BodyStream:
    """One body between its source and its sink; without a sink some ``MAX_BUFFERED_BODY`` are buffered."""

    __slots__ = (
        "_buffer",
        "_buffered_size",
        "_sink",
        "_source",
        "complete",
        "consumed",
        "content_length",
        "failed",
        "writable",
    )

    def __init__(self, source: BodySource, content_length: int | None) -> None:
        """Create a stream of ``content_length`` bytes, or ``None`` where the source does not say."""
        self._source = source
        self._sink: BodySink | None = None
        self._buffer: list[bytes] = []
        self._buffered_size = 0
        self.content_length = content_length
        self.writable = False  # whether the sink takes more
        self.complete = False  # whether the source has delivered everything
        self.failed = False  # whether the source broke before the end
        self.consumed = False  # whether a sink has had any of it: then it cannot be sent a second time

    def write(self, data: bytes) -> None:
        """Take the next bytes from the source."""
        if self._sink is not None and self.writable:
            return self._sink.write_chunk(data)
        self._buffer.append(data)
        self._buffered_size += len(data)
        if self._buffered_size >= MAX_BUFFERED_BODY:
            self._source.set_paused(True)

    def finish(self) -> None:
        """Take the end of the body from the source, which may go on with what is behind it."""
        if not self.complete:
            self.complete = True
            self._source.set_paused(False)
        if self._sink is not None and not self._buffer:
            self._sink.finish()

    def fail(self) -> None:
        """Take note that the source broke before the end of the body."""
        self.failed = True
        if self._sink is not None:
            self._sink.truncate()

    def attach(self, sink: BodySink, writable: bool) -> None:
        """Give the body to a sink, from its first byte."""
        self._sink = sink
        self.consumed = True
        self.set_writable(writable)

    def detach(self) -> None:
        """Take the body from its sink."""
        self._sink = None
        self.writable = False

    def set_writable(self, writable: bool) -> None:
        """Take note whether the sink takes more; the source is read only while it does."""
        self.writable = writable
        if self._sink is None:
            return
        if self.failed:
            return self._sink.truncate()
        if not writable:
            if not self.complete:  # else the source is at another body by now
                self._source.set_paused(True)
            return
        if self._buffer:
            data = b"".join(self._buffer)
            self._buffer = []
            self._buffered_size = 0
            self._sink.write_chunk(data)  # which may call set_writable(False) before it returns
        if self.complete:
            self._sink.finish()
        elif self.writable:
            self._source.set_paused(False)

    def abandon(self) -> None:
        """Take note that the sink is gone, and stop the source."""
        self.detach()
        if not self.complete and not self.failed:
            self._source.abandon()
