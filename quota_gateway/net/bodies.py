"""Long bodies on their way through, in pieces: neither side is read faster than the other one takes."""

from __future__ import annotations

from typing import Protocol

from quota_gateway.net.http import MAX_BODY


class Source(Protocol):
    """The connection that a body comes from."""

    def hold(self, stop: bool) -> None:
        """Read no further, or go on."""

    def drop(self) -> None:
        """Nobody takes the rest."""


class Sink(Protocol):
    """The connection that a body goes to; it tells by ``Pipe.go`` whether it takes more."""

    def piece(self, data: bytes) -> None: ...

    def ended(self) -> None: ...

    def cut(self) -> None:
        """The source broke off: the body will not become whole."""


class Pipe:
    """One body between its source and its sink; it holds about ``MAX_BODY`` while there is no sink."""

    __slots__ = ("_held", "_pending", "_sink", "_source", "broken", "length", "open", "taken", "whole")

    def __init__(self, source: Source, length: int | None) -> None:
        self._source, self.length = source, length
        self._sink: Sink | None = None
        self._pending, self._held = list[bytes](), 0
        self.open = self.whole = self.broken = False
        self.taken = False  # whether a sink has had any of it: it cannot be had again

    def put(self, data: bytes) -> None:
        if self._sink is not None and self.open:
            return self._sink.piece(data)
        self._pending.append(data)
        self._held += len(data)
        if self._held >= MAX_BODY:
            self._source.hold(True)

    def end(self) -> None:
        self.whole = True
        if self._sink is not None and not self._pending:
            self._sink.ended()

    def fail(self) -> None:
        self.broken = True
        if self._sink is not None:
            self._sink.cut()

    def attach(self, sink: Sink, ready: bool) -> None:
        self._sink, self.taken = sink, True
        self.go(ready)

    def detach(self) -> None:
        self._sink, self.open = None, False

    def go(self, ready: bool) -> None:
        """The sink takes more, or no more for now."""
        self.open = ready
        if self._sink is None or self.broken:
            return self._sink.cut() if self._sink is not None else None
        if not ready:
            return self._source.hold(not self.whole)
        if self._pending:
            data, self._pending, self._held = b"".join(self._pending), [], 0
            self._sink.piece(data)  # and it may say at once that it takes no more
        if self.whole:
            self._sink.ended()
        elif self.open:
            self._source.hold(False)

    def drop(self) -> None:
        """The sink is gone, and with it the use of the rest."""
        self.detach()
        if not self.whole and not self.broken:
            self._source.drop()
