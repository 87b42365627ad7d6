"""The watch on discovery: one call, and the watcher that begins it anew."""

from __future__ import annotations

import asyncio
import json
import logging
import math
from collections import Counter
from collections.abc import Callable
from random import Random

import httptools

from quota_gateway.net.backoff import CALL_AGAIN, pause
from quota_gateway.net.watch_event import WatchEvent, parse_watch_event

log = logging.getLogger(__name__)

# An empty line comes every 2 s: past this the watch is dead, whatever the socket says. Whole lines count, for
# what trickles tells nothing. News counts as told 6 s after a silence began, the call anew is part of that.
SILENCE = 3.0
IN_LINE, MOST_CALLS = 60.0, 3  # seconds that a call may wait for its answer, beside so many others at most
SHORT_LIVED = 5.0  # seconds: a watch that ends sooner counts as a call in vain
# A line that cannot be read may have held a change that no later line repeats: the watch is begun anew from
# the version before it, at once, and then so often, for what stands there may stay unreadable.
ASK_AGAIN = 10.0
REPORT = 10.0  # seconds between two log lines on the calls
MAX_LINE = 4 * 1024 * 1024


class _Watch:
    """One call to discovery, from its dial to the end of the watch that it becomes."""

    def __init__(self, owner: EndpointWatcher) -> None:
        self._owner, self._buffer = owner, b""
        self._gap = False  # a line is lost
        self.told = False  # whether it has told a list or a change
        # When it began or, if later, a line came: what was there then is known.
        self.begun = self.last = asyncio.get_running_loop().time()
        self._until = self.begun + owner.answer  # when it is dead unless something comes
        self.task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        try:
            await self._talk()
        except (OSError, TimeoutError, httptools.HttpParserError) as error:
            cause = error.__context__ if isinstance(error, httptools.HttpParserCallbackError) else error
            self._owner.ended(repr(cause))
        except Exception:
            log.exception("the watch on discovery failed")

    async def _talk(self) -> None:
        loop, owner = asyncio.get_running_loop(), self._owner
        async with asyncio.timeout_at(self._until):
            reader, writer = await asyncio.open_connection(owner.host, owner.port)
        self._until = self.begun + IN_LINE
        try:
            since = "" if owner.since is None else f"&since={owner.since}"
            request = f"GET /v1/servers?follow=1{since} HTTP/1.1\r\nHost: {owner.host}:{owner.port}\r\n\r\n"
            writer.write(request.encode())
            self._parser = httptools.HttpResponseParser(self)
            while True:
                async with asyncio.timeout_at(self._until):
                    data = await reader.read(65536)
                if not data:
                    raise ConnectionError("closed by discovery")
                self._parser.feed_data(data)
                if self._gap and loop.time() - owner.gap_at > ASK_AGAIN:
                    owner.gap_at = loop.time()
                    raise ConnectionError("a line was lost")
        finally:
            writer.transport.abort()

    # The parser's callbacks.

    def on_headers_complete(self) -> None:
        if (code := self._parser.get_status_code()) != 200:
            if code < 500 and code != 429:
                self._owner.since = None  # it may be the version that is not taken
            # Turned away as too busy it would be the busier for the whole list, whose every line is work.
            raise ConnectionError(f"status {code}")
        self._heard()
        self._owner.answered(self)

    def on_body(self, body: bytes) -> None:
        # Chunks end where they like; only line ends part the messages.
        *lines, self._buffer = (self._buffer + body).split(b"\n")
        for line in lines:
            self._line(line.strip())
        if len(self._buffer) > MAX_LINE:
            raise ConnectionError("a line without an end")

    def on_message_complete(self) -> None:
        raise ConnectionError("the watch was ended")

    def _heard(self) -> None:
        self._until = asyncio.get_running_loop().time() + SILENCE

    def _line(self, line: bytes) -> None:
        self._heard()
        self.last = asyncio.get_running_loop().time()
        if not line:
            return
        try:
            listing = parse_watch_event(json.loads(line))
            if listing.update.complete and not listing.update.endpoints:
                raise ValueError("an empty list: the last one is kept")  # a discovery that has lost its state
        except ValueError as error:
            self._gap = True
            return self._owner.dropped(error)
        self.told = True
        self._owner.told(listing, whole=not self._gap)


class EndpointWatcher:
    """Follows the watch for ever; a broken or silent one is begun anew and the list kept.

    A call that has no answer yet is not given up when the next one begins, it waits beside it: overbooked,
    discovery answers in the order of coming, and who left the line would never get to its head. Half-open,
    it answers only what has come since its return. Whichever call is answered first is the watch.
    """

    def __init__(
        self, host: str, port: int, since: int | None, tell: Callable[[WatchEvent], None],
        callers: int = 1, rng: Random | None = None, answer: float = SILENCE, most: float = CALL_AGAIN,
    ) -> None:  # fmt: skip
        self._callers, self._rng, self.answer, self._most = callers, rng or Random(), answer, most
        self.host, self.port, self.since, self._tell = host, port, since, tell
        self._failed, self._odd = 0, False  # failures in a row; a row of unreadable lines
        self.gap_at = -math.inf  # when a lost line last began the watch anew
        self._waiting = list[_Watch]()  # calls that have no answer yet, in the order of their begin
        self._first: asyncio.Future[_Watch] | None = None  # the call that is answered first
        self._seen, self._told_at = Counter[str](), 0.0

    async def follow(self) -> None:
        loop, spent, watch = asyncio.get_running_loop(), 0.0, None
        try:
            while True:
                first = self._first = loop.create_future()
                # The first call too: a release starts many limiters in the same moment.
                wait = pause(self._callers, self._failed, self._rng.random(), self._most, spent)
                await asyncio.wait([first], timeout=wait)
                if not first.done():
                    self._waiting = [w for w in self._waiting if not w.task.done()]
                    if len(self._waiting) >= MOST_CALLS:
                        self._waiting.pop(1).task.cancel()  # the first is nearest to the head of the line
                    self._waiting.append(watch := _Watch(self))
                    await asyncio.wait(
                        [first, watch.task], timeout=self.answer, return_when=asyncio.FIRST_COMPLETED
                    )
                if first.done():
                    watch = first.result()
                    await asyncio.wait([watch.task])
                elif watch is not None and not watch.task.done():
                    self.ended(f"no answer in {self.answer:.1f} s")
                assert watch is not None
                lived = loop.time() - watch.begun > SHORT_LIVED and watch.told
                self._failed = 0 if lived else self._failed + 1
                spent = loop.time() - watch.last
                self._note("failed")
        finally:
            for each in (*self._waiting, watch):
                if each is not None:
                    each.task.cancel()

    def answered(self, watch: _Watch) -> None:
        """The head of an answer: the other calls leave the line."""
        if self._first is None or self._first.done():
            return
        self._first.set_result(watch)
        for other in self._waiting:
            if other is not watch:
                other.task.cancel()
        self._waiting = []

    def ended(self, cause: str) -> None:
        if not self._failed:  # once for a row of failures
            log.warning("the watch on discovery ended: %s", cause)

    def dropped(self, error: ValueError) -> None:
        if not self._odd:  # once for a row
            log.warning("dropped a line of discovery: %s", error)
        self._odd = True
        self._note("dropped")

    def told(self, listing: WatchEvent, whole: bool) -> None:
        """A list or a change; ``whole`` where no line before it is lost."""
        if whole:
            self.since, self._odd = listing.version, False
        self._failed = 0
        self._note("told")
        self._tell(listing)

    def _note(self, what: str) -> None:
        self._seen[what] += 1
        now = asyncio.get_running_loop().time()
        if now - self._told_at > REPORT:
            told = ", ".join(f"{k} {n}" for k, n in sorted(self._seen.items()))
            log.info("calls to discovery: %s", told)
            self._seen.clear()
            self._told_at = now
