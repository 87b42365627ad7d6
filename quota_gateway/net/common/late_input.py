"""Input that arrived while the process was stalled, and that a decision must not overlook.

The event loop reads its sockets in any order: after a stall it may deliver a request before an older change
of the endpoint list. The sources of such changes are therefore read before each decision and each write, if
the last read was not a short time ago.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

log = logging.getLogger(__name__)

# The longest time since the last read of all sources; short compared with the graces that begin when a change
# arrives.
MAX_AGE_SECONDS = 0.2


class LateInput:
    """Reads its sources unless that was done within ``MAX_AGE_SECONDS``."""

    __slots__ = ("_clock", "_is_reading", "_read_at", "_sources")

    def __init__(self, clock: Callable[[], float]) -> None:
        """``clock`` returns seconds of a clock that is never stepped."""
        self._clock = clock
        self._sources = list[Callable[[], None]]()
        self._read_at = clock()
        self._is_reading = False

    def add_source(self, read: Callable[[], None]) -> None:
        """Add a source; ``read`` handles the input of the source, and blocks for 0.1 s at most."""
        self._sources.append(read)

    def read_if_due(self) -> None:
        """Read all sources unless that was done recently; an error in one does not skip the others."""
        now = self._clock()
        if now - self._read_at <= MAX_AGE_SECONDS or self._is_reading:
            return
        self._read_at = now
        self._is_reading = True
        try:
            for read in self._sources:
                self._read(read)
        finally:
            self._is_reading = False

    def _read(self, read: Callable[[], None]) -> None:
        try:
            read()
        except Exception:
            log.exception("unexpected error while reading input that arrived during a stall")
