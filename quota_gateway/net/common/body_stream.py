"""Streaming of long bodies with backpressure: a source is read no faster than its sink accepts the data."""

from __future__ import annotations

from collections import deque
from typing import Protocol

from quota_gateway.net.common.memory_budget import MemoryBudget

# A connection is aborted if its peer accepts or sends nothing of a body for this time. Endpoints may hang for
# 25 s in the middle of their work.
BODY_STALL_TIMEOUT_SECONDS = 30.0


class BodySource(Protocol):
    """The connection that a body is read from."""

    def set_paused(self, *, paused: bool) -> None:
        """Pause or resume reading."""

    def abandon(self) -> None:
        """Drop the rest of the body, whose sink has disconnected."""


class BodySink(Protocol):
    """The connection that a body is written to.

    It calls ``BodyStream.set_writable`` when it stops or resumes accepting data.
    """

    def write_chunk(self, data: bytes) -> None:
        """Write the next bytes of the body."""

    def finish(self) -> None:
        """End the body after its last byte was written."""

    def truncate(self) -> None:
        """End the body incompletely, because its source has failed."""


class BodyStream:
    """Passes one body from its source to its sink.

    Data that the sink does not accept is buffered. The source is paused when the buffer contains as much as
    the memory budget allows for one read, and while an attached sink accepts no data. With ``reads_ahead``
    the source is read on while an attached sink accepts no data, as far as the budget allows.
    """

    __slots__ = (
        "_budget",
        "_buffer",
        "_buffered_size",
        "_reads_ahead",
        "_sink",
        "_source",
        "complete",
        "consumed",
        "content_length",
        "failed",
        "writable",
    )

    def __init__(
        self,
        source: BodySource,
        content_length: int | None,
        budget: MemoryBudget | None = None,
        *,
        reads_ahead: bool = False,
    ) -> None:
        """Create a stream of ``content_length`` bytes; None if the source does not know the length."""
        self._reads_ahead = reads_ahead
        self._budget = budget or MemoryBudget()
        self._source = source
        self._sink: BodySink | None = None
        self._buffer = deque[bytes]()
        self._buffered_size = 0  # bytes
        self.content_length = content_length
        self.writable = False  # whether the sink accepts more data
        self.complete = False  # whether the source has delivered the complete body
        self.failed = False  # whether the source failed before the end
        self.consumed = False  # whether a sink was attached; the body cannot be sent again then

    @property
    def buffered_size(self) -> int:
        """The number of bytes that wait for the sink."""
        return self._buffered_size

    # Calls of the source.

    def write(self, data: bytes) -> None:
        """Pass the next bytes from the source to the sink, or buffer them."""
        if self._sink is not None and self.writable and not self._buffer:
            self._sink.write_chunk(data)
            return
        self._buffer.append(data)
        self._buffered_size += len(data)
        if self._buffered_size >= self._max_buffered_size():
            self._source.set_paused(paused=True)

    def _max_buffered_size(self) -> int:
        if self._reads_ahead and self._sink is not None:
            return self._budget.read_ahead_size()
        return self._budget.read_size()

    def finish(self) -> None:
        """Record that the body is complete; the source may read the input after it."""
        if not self.complete:
            self.complete = True
            self._source.set_paused(paused=False)
        if self._sink is not None and not self._buffer:
            self._sink.finish()

    def fail(self) -> None:
        """Record that the source failed before the end of the body."""
        self.failed = True
        if self._sink is not None:
            self._sink.truncate()

    # Calls of the sink.

    def attach(self, sink: BodySink, *, writable: bool) -> None:
        """Pass the body to a sink, from its first byte."""
        self._sink = sink
        self.consumed = True
        self.set_writable(writable=writable)

    def detach(self) -> None:
        """Stop passing the body to its sink."""
        self._sink = None
        self.writable = False

    def set_writable(self, *, writable: bool) -> None:
        """Record whether the sink accepts more data; the source is paused while it does not."""
        self.writable = writable
        if self._sink is None:
            return
        if self.failed:
            self._sink.truncate()
            return
        if not writable:
            # After a complete body the source may already be reading another one.
            if not self.complete and not self._reads_ahead:
                self._source.set_paused(paused=True)
            return
        self._write_buffer(self._sink)
        if self._buffer or self._sink is None:
            return
        if self.complete:
            self._sink.finish()
        elif self.writable or self._reads_ahead:
            self._source.set_paused(paused=False)

    def _write_buffer(self, sink: BodySink) -> None:
        """Write the buffered data as long as the sink accepts it; it may call ``set_writable`` or detach."""
        while self._buffer and self.writable and self._sink is sink:
            data = self._buffer.popleft()
            self._buffered_size -= len(data)
            sink.write_chunk(data)

    def abandon(self) -> None:
        """Detach a sink that has disconnected, and stop the source."""
        self.detach()
        if not self.complete and not self.failed:
            self._source.abandon()
