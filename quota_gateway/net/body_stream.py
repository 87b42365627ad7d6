"""Long bodies on their way through, in pieces: neither side is read faster than the other one takes."""

from __future__ import annotations

from typing import Protocol

from quota_gateway.net.http_common import MAX_BODY


class BodySource(Protocol):
    """The connection that a body comes from."""

    def set_paused(self, stop: bool) -> None:
        """Read no further, or go on."""

    def abandon(self) -> None:
        """Nobody takes the rest."""


class BodySink(Protocol):
    """The connection that a body goes to; it tells by ``Pipe.go`` whether it takes more."""

    def write_chunk(self, data: bytes) -> None: ...

    def finish(self) -> None: ...

    def truncate(self) -> None:
        """The source broke off: the body will not become whole."""


class BodyStream:
    """One body between its source and its sink; it holds about ``MAX_BODY`` while there is no sink."""

    __slots__ = (
        "_held",
        "_pending",
        "_sink",
        "_source",
        "complete",
        "consumed",
        "content_length",
        "failed",
        "writable",
    )

    def __init__(self, source: BodySource, length: int | None) -> None:
        self._source, self.content_length = source, length
        self._sink: BodySink | None = None
        self._pending, self._held = list[bytes](), 0
        self.writable = self.complete = self.failed = False
        self.consumed = False  # whether a sink has had any of it: it cannot be had again

    def write(self, data: bytes) -> None:
        if self._sink is not None and self.writable:
            return self._sink.write_chunk(data)
        self._pending.append(data)
        self._held += len(data)
        if self._held >= MAX_BODY:
            self._source.set_paused(True)

    def finish(self) -> None:
        self.complete = True
        if self._sink is not None and not self._pending:
            self._sink.finish()

    def fail(self) -> None:
        self.failed = True
        if self._sink is not None:
            self._sink.truncate()

    def attach(self, sink: BodySink, ready: bool) -> None:
        self._sink, self.consumed = sink, True
        self.set_writable(ready)

    def detach(self) -> None:
        self._sink, self.writable = None, False

    def set_writable(self, ready: bool) -> None:
        """The sink takes more, or no more for now."""
        self.writable = ready
        if self._sink is None or self.failed:
            return self._sink.truncate() if self._sink is not None else None
        if not ready:
            return self._source.set_paused(not self.complete)
        if self._pending:
            data, self._pending, self._held = b"".join(self._pending), [], 0
            self._sink.write_chunk(data)  # and it may say at once that it takes no more
        if self.complete:
            self._sink.finish()
        elif self.writable:
            self._source.set_paused(False)

    def abandon(self) -> None:
        """The sink is gone, and with it the use of the rest."""
        self.detach()
        if not self.complete and not self.failed:
            self._source.abandon()
