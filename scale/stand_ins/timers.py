"""Timers with a higher resolution than those of the event loop."""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import os
import time
from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from typing import NamedTuple

LIBC = ctypes.CDLL(None, use_errno=True)
TFD_TIMER_ABSTIME = 1  # flag of timerfd_settime: the time is absolute
TIMERFD_READ_BYTES = 8  # size of the number of expirations, which a read returns
NANOSECONDS_PER_SECOND = 1e9


class _Timer(NamedTuple):
    """A callback with its time; ``order`` keeps timers of the same time in the order of their creation."""

    at: float  # seconds of ``time.monotonic``
    order: int
    callback: Callable[[], None]


class PreciseTimers:
    """Timers with a resolution of about 0.1 ms; those of the event loop have 1 ms.

    They need Linux (timerfd).
    """

    def __init__(self) -> None:
        """Create timers for the running event loop. Raise ``OSError`` without timerfd."""
        self._due = list[_Timer]()  # heap
        self._order = count()
        self._armed_for = 0.0  # seconds of ``time.monotonic``; 0: not armed
        self._descriptor: int = LIBC.timerfd_create(time.CLOCK_MONOTONIC, os.O_NONBLOCK | os.O_CLOEXEC)
        if self._descriptor < 0:
            raise OSError(ctypes.get_errno(), "timerfd_create")
        asyncio.get_running_loop().add_reader(self._descriptor, self._fire)

    def call_at(self, when: float, callback: Callable[[], None]) -> None:
        """Call ``callback`` when ``time.monotonic`` reaches ``when``."""
        heappush(self._due, _Timer(when, next(self._order), callback))
        self._arm()

    def close(self) -> None:
        """Discard all timers."""
        asyncio.get_running_loop().remove_reader(self._descriptor)
        os.close(self._descriptor)

    def _arm(self) -> None:
        if self._due and self._due[0].at != self._armed_for:
            self._armed_for = self._due[0].at
            seconds = int(self._armed_for)
            nanoseconds = max(1, int((self._armed_for - seconds) * NANOSECONDS_PER_SECOND))
            expiration = (ctypes.c_long * 4)(0, 0, seconds, nanoseconds)  # struct itimerspec: no interval
            LIBC.timerfd_settime(self._descriptor, TFD_TIMER_ABSTIME, expiration, None)

    def _fire(self) -> None:
        with contextlib.suppress(BlockingIOError):  # the timer was armed again after its expiration
            os.read(self._descriptor, TIMERFD_READ_BYTES)
        while self._due and self._due[0].at <= time.monotonic():
            heappop(self._due).callback()
        self._armed_for = 0.0
        self._arm()
