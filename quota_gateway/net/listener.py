"""The clients' side: takes requests off connections and writes exactly one answer to each."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import logging
import os
import re
import select
import socket
import struct
import termios
from collections import deque
from collections.abc import Callable
from typing import Protocol, TypeVar, cast

import httptools

from quota_gateway import model
from quota_gateway.net.body_stream import BodyStream
from quota_gateway.net.http_common import MAX_BODY, MAX_HEAD, MAX_LONG, NOT_FORWARDED, PIECE
from quota_gateway.net.metrics import Metrics

log = logging.getLogger(__name__)
T = TypeVar("T")

MAX_PIPELINE = 8  # unanswered requests of one connection: clients send one at a time
BACKLOG = 1024
SWEEP = 0.2  # seconds between two looks for silent and slow clients: one timer for all of them
IDLE = 2.05  # seconds without an open request: a keep-alive may be closed after 2, a bad client must be by 3
SLOW = 2.05  # seconds that a body may take to come, unless it keeps flowing
HEAD = 2.5  # seconds that a head may take: a slow client's takes 2, a bad one must be answered by 3
FLOW, LONGEST = 8192, 5.0  # bytes a second that count as flowing; and even then no longer than this if short
STALLED = 15.0  # seconds in which a client takes nothing of a long answer, until it is given up
GONE = 0.1  # seconds in which a client that has gone shows it: a way there and back, and a slow loop
# Seconds after the end of a client's sending in which an attempt for it may still begin: 0.1 s are allowed,
# and a slow loop needs its part of them. So long a client that was there is taken to be there with no look.
STILL = 0.05
ROOM = 0.1  # seconds that the last clients of a closing listener may wait for a descriptor
LINGER = 0.5  # seconds that a refused sender's input is still drained, or it would not see why
LINGER_BYTES = 128 * 1024  # and how much of it: draining 60 MB would be the sender's to command
LINGER_LONG = 5.0  # but the long body of a proper request that was refused early is read off
# Of the most connections; where more have asked something, every answer closes its own. Clients that ask once
# and keep their connection for good use up what their side may open here, and then ask elsewhere or nowhere:
# so many a second come as connections end by IDLE. It guards as well against leaks in a client's pool and
# against more clients than there are descriptors. It could do harm where that many clients ask all the time
# and connecting is dear (TLS, long ways): each request beyond the share then pays for a connection.
CROWDED = 0.5
MAX_TIMEOUT_MS = 60_000
FORMER = 3.0  # seconds after new settings for which a class's former terms are still read
REASONS = {
    200: b"OK", 400: b"Bad Request", 404: b"Not Found", 405: b"Method Not Allowed", 408: b"Request Timeout",
    409: b"Conflict", 413: b"Content Too Large", 429: b"Too Many Requests", 500: b"Internal Server Error",
    502: b"Bad Gateway", 503: b"Service Unavailable", 504: b"Gateway Timeout",
}  # fmt: skip
STATUS_LINES = {code: b"HTTP/1.1 %d %b\r\n" % (code, reason) for code, reason in REASONS.items()}
REQUEST_ID, CLASS, PLAN = b"x-request-id", b"x-priority-class", b"x-plan"
TIMEOUT, QUOTA, RETRIED = b"x-timeout-ms", b"x-quota", b"x-retried"
READ = frozenset((REQUEST_ID, CLASS, PLAN, TIMEOUT, QUOTA, RETRIED))
ID = re.compile(rb"[0-9a-fA-F]{16}")
ACCOUNT = re.compile(r"account=([0-9a-fA-F]{16})")
ACCOUNTS = 2**33
ABSOLUTE = re.compile(rb"https?://[^/?#]+(?=/)", re.IGNORECASE)
TARGET = re.compile(rb"[!-~]+")
WHOLE = re.compile(rb"[0-9]{1,9}")
QUOTA_FORM = re.compile(rb"units=([0-9]{1,9}(?:\.[0-9]{1,9})?),spread=([0-9]{1,9}),first=([0-9]{1,9})")


class BadRequestError(Exception):
    """A request that is answered here, with the status that says why."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


class ClientRequest:
    """One try of a client, and the place in its connection where the answer goes."""

    __slots__ = (
        "_chunked",
        "_client",
        "body",
        "event",
        "head",
        "is_http_1_0",
        "keep_alive",
        "last_progress",
        "request_id",
        "response",
        "response_head",
        "response_stream",
        "upload",
    )  # fmt: skip

    def __init__(self, client: _Client, keep_alive: bool, old: bool = False) -> None:
        self._client, self.keep_alive, self.is_http_1_0 = client, keep_alive, old
        self.event: model.Request | None = None
        self.upload: BodyStream | None = None  # its body, where that is long
        self.response_stream: BodyStream | None = None  # its answer, where that is long
        self.response_head: bytes | None = None  # the head of that, until it is written
        self._chunked, self.last_progress = False, 0.0
        self.request_id = self.head = self.body = b""
        self.response: tuple[bytes, bytes] | None = None

    def respond(
        self, status: int, body: bytes = b"", headers: bytes = b"", retry_after: float | None = None
    ) -> None:
        """Give the one final answer; the connection writes it when its turn has come."""
        if self.response is not None or self.response_stream is not None:
            raise RuntimeError("a request was answered twice")
        if self.upload is not None and not self.upload.complete:
            self._client.refuse_rest()
            self.keep_alive = False
        self._client.frontend.open_request_ids.discard(self.request_id)
        if self.event is not None:
            self._client.frontend.metrics.record_request(self.event.request_class, status)
        retry = b"" if retry_after is None else b"Retry-After: %.3f\r\n" % retry_after
        length = b"Content-Length: %d\r\n\r\n" % len(body)
        self.response = b"".join((STATUS_LINES[status], headers, retry)), length + body
        self._client.flush()

    def begin_response(self, headers: bytes, pipe: BodyStream) -> None:
        """Begin the one final answer with the first bytes of a long one; the rest comes by the pipe."""
        if self.response is not None or self.response_stream is not None:
            raise RuntimeError("a request was answered twice")
        client = self._client
        client.frontend.open_request_ids.discard(self.request_id)
        client.frontend.metrics.streaming_responses += 1
        self.response_stream, self._chunked = pipe, pipe.content_length is None and not self.is_http_1_0
        if pipe.content_length is not None:
            framing = b"Content-Length: %d\r\n" % pipe.content_length
        elif self._chunked:
            framing = b"Transfer-Encoding: chunked\r\n"
        else:
            framing, self.keep_alive = b"", False  # the end of the connection is the answer's
        self.response_head = STATUS_LINES[200] + headers + framing
        client.flush()

    def is_client_connected(self) -> bool:
        """Whether an attempt may begin: not for a client that has gone or ended its sending a while ago."""
        return self._client.is_connected()

    # The sink of the answer.

    def write_chunk(self, data: bytes) -> None:
        if data:
            self.last_progress = self._client.frontend.clock()
            self._client.write(b"%x\r\n%b\r\n" % (len(data), data) if self._chunked else data)

    def finish(self) -> None:
        if self._chunked:
            self._client.write(b"0\r\n\r\n")
        self._over(200)
        self._client.finished(self)

    def truncate(self) -> None:
        """The answer will not become whole: the client sees its connection end before it."""
        self._over(502)
        self._client.abort()

    def _over(self, status: int) -> None:
        figures = self._client.frontend.metrics
        self.response_stream = None
        figures.streaming_responses -= 1
        if self.event is not None:
            figures.record_request(self.event.request_class, status)

    def on_client_disconnected(self) -> None:
        """The client has gone in the middle of its answer."""
        if (pipe := self.response_stream) is not None:
            self.response_stream = None
            self._client.frontend.metrics.streaming_responses -= 1
            pipe.abandon()


class RequestHandler(Protocol):
    """What the clients' side tells of its requests."""

    def on_request(self, request: ClientRequest) -> None: ...

    def on_upload_completed(self, request: ClientRequest) -> None: ...

    def on_client_disconnected(self, request: ClientRequest) -> None: ...

    def on_client_maybe_gone(self, request: ClientRequest) -> None: ...


class RequestParser:
    """Turns a request's headers and target into the event that the decisions want."""

    def __init__(self, settings: model.Settings, clock: Callable[[], float] = lambda: 0.0) -> None:
        self._clock, self._last_id = clock, 0
        self._classes, self._plans = dict[str, bool](), set[str]()
        self._former, self._former_until = dict[str, bool](), 0.0
        self.reconfigure(settings)

    def reconfigure(self, settings: model.Settings) -> None:
        """Classes and plans from now on. Those before are read for a while: requests are on the way."""
        self._former, self._former_until = self._classes, self._clock() + FORMER
        self._classes = {
            c.name: c.idempotency is model.Idempotency.INHERENT for c in settings.classes
        }  # whether by GET
        self._plans |= {p.name for p in settings.plans}
        self._gateways, self._max_units = settings.gateway_count, max(1.0, settings.max_units)

    def parse(
        self, method: bytes, target: str, fields: dict[bytes, bytes], uploading: bool = False
    ) -> model.Request:
        path, _, query = target.partition("?")
        name = path[1:].partition("/")[0]
        former = self._former if self._former and self._clock() < self._former_until else {}
        if name not in self._classes and name not in former:
            raise BadRequestError(404, "unknown path")
        for header in (REQUEST_ID, CLASS, PLAN, TIMEOUT, QUOTA):
            if not fields.get(header):
                raise BadRequestError(400, f"{header.decode()} is missing")
        # The method follows from the class, and a GET with a body could hide another request in it.
        if (method == b"GET") not in (self._classes.get(name), former.get(name)):
            raise BadRequestError(405, "method")
        if not ID.fullmatch(fields[REQUEST_ID]):
            raise BadRequestError(400, "x-request-id is wrong")
        plan = fields[PLAN].decode("latin-1")
        if fields[CLASS].decode("latin-1") != name or plan not in self._plans:
            raise BadRequestError(400, "unknown class or plan")
        # Given twice, this side and the server might each take another one for the customer.
        accounts = [part for part in query.split("&") if part.partition("=")[0].lower() == "account"]
        account = ACCOUNT.fullmatch(accounts[0]) if len(accounts) == 1 else None
        if account is None or int(account[1], 16) >= ACCOUNTS:
            raise BadRequestError(400, "account is missing or wrong")
        if not WHOLE.fullmatch(fields[TIMEOUT]) or not 0 < int(fields[TIMEOUT]) <= MAX_TIMEOUT_MS:
            raise BadRequestError(400, "x-timeout-ms is wrong")
        units, spread = self._quota(fields[QUOTA])
        self._last_id += 1
        ttl, repeat = int(fields[TIMEOUT]) / 1000, fields.get(RETRIED) == b"1"
        return model.Request(
            self._last_id, name, plan, ttl, account[1].lower(), units, spread, repeat, uploading
        )

    def _quota(self, text: bytes) -> tuple[float, int]:
        form = QUOTA_FORM.fullmatch(text)
        if form is None:
            raise BadRequestError(400, "x-quota is wrong")
        units, spread = float(form[1]), int(form[2])
        inside = 1 <= spread <= self._gateways and int(form[3]) < self._gateways
        if not 0 < units <= self._max_units or not inside:
            raise BadRequestError(400, "x-quota is wrong")
        return units, spread


class _Client(asyncio.Protocol):
    """One client connection: parses requests, keeps their answers in order."""

    def __init__(self, frontend: ClientListener) -> None:
        self.frontend = frontend
        self._transport: asyncio.Transport | None = None
        self._lingering: asyncio.Transport | None = None  # it is being closed
        self._parser = httptools.HttpRequestParser(self)
        self._waiting = deque[ClientRequest]()
        self._target, self._fields = b"", dict[bytes, bytes]()
        self._head, self._body = list[bytes](), list[bytes]()
        self._size, self._head_read, self._reading = 0, False, False
        self._length: int | None = None
        self._chunked = self._expects = False
        self._trailed = 0
        self._rejected = self._clogged = self._paused = False
        self.spoke = False
        self.since = frontend.clock()  # of the last thing that counts: coming, a request's begin, an answer
        self._drained, self._linger = 0, (LINGER, LINGER_BYTES)
        self._upload: BodyStream | None = None  # the long body that is being read
        self._held = False  # its server takes no more for now
        self._asked = False  # whether a request has come whole
        self._ended = False  # the client has closed its sending side
        self._probed = False  # it has been asked whether it is still there
        self._cleared = False  # it has not shown that it has gone
        self._released = False  # its server takes more, which waits for that
        self._there_at = self.since  # when it last had not ended its sending
        self._ended_at: float | None = None  # when it may have done so, at the earliest
        self._body_since, self._body_at = 0.0, 0

    @property
    def idle(self) -> bool:
        return not self._waiting and not self._reading

    @property
    def rank(self) -> tuple[int, float] | None:
        """Who makes room first at the limit: those that linger, never spoke, are half read, idle longest."""
        if self._transport is None:
            closing = self._lingering is None or self._lingering.is_closing()
            return None if closing else (0, self.since)
        if self._waiting:
            return None
        return (1 if not self.spoke else 2 if self._reading else 3), self.since

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport = cast(asyncio.Transport, transport)  # uvloop's are no subclass of it
        self._transport = transport
        self.frontend.connected(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = self._lingering = None
        self.frontend.active_connections -= self.spoke
        self.frontend.disconnected(self)
        self._depart()

    def _depart(self) -> None:
        waiting, self._waiting = self._waiting, deque()
        for request in waiting:
            if request.response_stream is not None:
                request.on_client_disconnected()
            elif request.response is None:
                self.frontend.open_request_ids.discard(request.request_id)
                self.frontend.handler.on_client_disconnected(request)

    def data_received(self, data: bytes) -> None:
        if self._rejected:
            self._drained += len(data)
            if self._drained > self._linger[1]:
                self.abort()
            return
        self.frontend.active_connections += not self.spoke
        self.spoke = True
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as offer:
            # The offer is passed over (RFC 9110, 7.8): the request has been taken, what follows is HTTP/1.1.
            self._parser = httptools.HttpRequestParser(self)
            return self.data_received(data[offer.args[0] :])
        except httptools.HttpParserError as error:
            cause = error.__context__
            if self._rejected:
                pass  # answered already
            elif isinstance(cause, BadRequestError):
                self._reject(cause.status)
            elif isinstance(error, httptools.HttpParserCallbackError):
                log.error("a request could not be handled", exc_info=cause)
                self._reject(500)
            else:
                self._reject(400)
            return
        # A head without an end would grow inside the parser, where no callback sees it. What was seen of
        # one that came in pieces counts twice: a bound on memory need not be exact.
        if self._reading and not self._head_read:
            self._size += len(data)
            if self._size > MAX_HEAD:
                self._reject(400)

    def eof_received(self) -> bool:
        """The client sends no more. It has gone, or it waits for its answers half-closed: a look alone
        cannot tell, but who has gone meets the next bytes with a reset. An interim answer harms nobody."""
        if self._transport is None or not self._waiting or self._upload is not None:
            return False  # nothing is owed
        self._ended = True
        if self._ended_at is None:
            self._ended_at = self.frontend.clock()
        self._doubt()
        return True

    def _doubt(self) -> None:
        if self._probed:
            return
        self._probed = True
        first = self._waiting[0]
        if first.response_stream is None and not first.is_http_1_0 and self._transport is not None:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        asyncio.get_running_loop().call_later(GONE, self._doubted)

    def _doubted(self) -> None:
        """Nothing more is sent on for a client that may have gone; what is out may still answer it."""
        if self._transport is None or self._transport.is_closing() or not self._waiting:
            return
        if self._broken:
            return self.abort()
        self._cleared = True
        self._strand()
        if self._released:
            self.set_paused(False)

    def _strand(self) -> None:
        for request in list(self._waiting):
            if request.response is None and request.response_stream is None:
                self.frontend.handler.on_client_maybe_gone(request)

    @property
    def _broken(self) -> bool:
        """Whether a reset has come, also while nothing is read."""
        assert self._transport is not None
        peer = self._transport.get_extra_info("socket")
        return bool(peer.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))

    # The parser's callbacks.

    def on_message_begin(self) -> None:
        self._target, self._fields = b"", {}
        self._head, self._body, self._size = [], [], 0
        self._head_read, self._reading = False, True
        self._length, self._chunked, self._expects, self._trailed = None, False, False, 0
        # The first request's time begins with the connection: whoever never asks must be answered by then.
        if not self._waiting and self._asked:
            self.since = self.frontend.clock()
        elif len(self._waiting) >= MAX_PIPELINE:
            # Reading stops at this many, but one read may bring hundreds.
            raise BadRequestError(400, "too many requests at once")

    def on_url(self, url: bytes) -> None:
        self._target += url  # comes in pieces where the input was split
        self._size += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        key, value = name.lower(), value.strip(b" \t")
        if self._head_read:
            return self._trailer(len(name) + len(value))
        self._size += len(name) + len(value)
        if key in READ:
            if key in self._fields:
                raise BadRequestError(400, "a header stands twice")
            self._fields[key] = value
        if key not in NOT_FORWARDED and key != TIMEOUT:
            self._head.append(b"%b: %b\r\n" % (name, value))
        elif key == b"content-length":
            if self._length is not None or not WHOLE.fullmatch(value):
                raise BadRequestError(400, "content-length is wrong")
            self._length = int(value)
            if self._length > MAX_LONG:
                raise BadRequestError(413, "body too large")
        elif key == b"expect":
            self._expects = value.lower() == b"100-continue"
        elif key == b"transfer-encoding":
            if self._chunked or value.lower() != b"chunked":
                raise BadRequestError(400, "transfer-encoding is wrong")
            self._chunked = True

    def _trailer(self, size: int) -> None:
        """What stands behind a body in chunks is read and dropped: the head has said all that counts."""
        self._trailed += size
        if self._trailed > MAX_HEAD:
            raise BadRequestError(400, "trailer too large")

    def on_headers_complete(self) -> None:
        if self._size > MAX_HEAD:
            raise BadRequestError(400, "head too large")
        if self._chunked and self._length is not None:
            raise BadRequestError(400, "two framings: one of them may hide a request")
        if self._rejected:
            return
        self._head_read, self._size = True, 0
        self._body_since, self._body_at = self.frontend.clock(), 0
        if self._expects and not self._waiting and self._transport is not None:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        if self._length is not None and self._length > MAX_BODY:
            self._take_long()

    def on_body(self, body: bytes) -> None:
        if self._rejected:
            return
        self._size += len(body)
        if self._upload is not None:
            if self._size > MAX_LONG:
                raise BadRequestError(413, "body too large")
            return self._upload.write(body)
        self._body.append(body)
        if self._size > MAX_BODY:
            self._take_long()

    def _take_long(self) -> None:
        """A body that is not kept whole: the request is decided on before all of it has come."""
        if self._parser.get_method() != b"POST":
            raise BadRequestError(413, "body too large")
        body, self._body = self._body, []
        self._upload = BodyStream(self, self._length)
        for part in body:
            self._upload.write(part)
        if self._transport is not None:
            with contextlib.suppress(OSError):
                peer = self._transport.get_extra_info("socket")
                peer.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, PIECE)
        self._take(self._upload)

    def on_message_complete(self) -> None:
        if self._rejected:
            return
        self._reading, self._size, self._asked = False, 0, True
        if (upload := self._upload) is not None:
            self._upload, request = None, self._waiting[-1]
            if request.response is None:
                self.frontend.handler.on_upload_completed(request)
            return upload.finish()
        self._take(None)

    def _take(self, upload: BodyStream | None) -> None:
        old = self._parser.get_http_version() == "1.0"
        request = ClientRequest(self, self._parser.should_keep_alive(), old)
        request.upload = upload
        self._there_at = self.frontend.clock()
        self._waiting.append(request)
        try:
            self._dispatch(request)
        except BadRequestError as error:
            # Whoever sends this sends more of it: the connection goes with the answer.
            self._rejected, request.keep_alive, request.upload = True, False, None
            request.respond(error.status)
            raise  # and nothing behind it is parsed
        self._throttle()

    def _dispatch(self, request: ClientRequest) -> None:
        method = self._parser.get_method()
        if method not in (b"GET", b"POST"):
            raise BadRequestError(405, "method")
        if not TARGET.fullmatch(self._target) or self._parser.get_http_version() not in ("1.0", "1.1"):
            raise BadRequestError(400, "target or version")
        if absolute := ABSOLUTE.match(self._target):
            self._target = self._target[absolute.end() :]  # the form for proxies (RFC 9112, 3.2.2)
        target = self._target.decode("latin-1")
        if target.partition("?")[0] == "/healthz":
            return request.respond(503 if self.frontend.draining else 200)
        request.body = b"".join(self._body)
        if request.upload is not None and request.upload.content_length is None:
            self._head.append(b"Transfer-Encoding: chunked\r\n")
        elif request.upload is not None:
            self._head.append(b"Content-Length: %d\r\n" % (request.upload.content_length or 0))
        elif method == b"POST":
            self._head.append(b"Content-Length: %d\r\n" % len(request.body))
        elif request.body:
            raise BadRequestError(400, "a body where none belongs")
        event = self.frontend.parser.parse(method, target, self._fields, request.upload is not None)
        # One that is open here belongs to another: answers and outcomes must not meet the wrong one.
        if (id := self._fields[REQUEST_ID].lower()) in self.frontend.open_request_ids:
            raise BadRequestError(409, "the request id is in use")
        self.frontend.open_request_ids.add(id)
        request.request_id, request.event = id, event
        request.head = b"%b %b HTTP/1.1\r\n%b" % (method, self._target, b"".join(self._head))
        self.frontend.handler.on_request(request)

    # Answers.

    def flush(self) -> None:
        """Write the answers whose turn has come."""
        while self._waiting and self._transport is not None:
            if (pipe := self._waiting[0].response_stream) is not None:
                self._begin(self._waiting[0], pipe)
                break  # what stands behind it follows when it is finished
            if self._waiting[0].response is None:
                break
            request = self._waiting.popleft()
            self.since = self.frontend.clock()
            assert request.response is not None
            start, rest = request.response
            # Of what is pipelined only the last answer closes: what stands behind it has been taken too.
            close = not self._waiting and (self.frontend.closes_connections or self._ended)
            close = close or not request.keep_alive
            self._transport.write(start + (b"Connection: close\r\n" if close else b"") + rest)
            if close:
                self._close()
        self._throttle()

    def _begin(self, request: ClientRequest, pipe: BodyStream) -> None:
        if (start := request.response_head) is None:
            return
        request.response_head, request.last_progress = None, self.frontend.clock()
        request.keep_alive = request.keep_alive and not self.frontend.closes_connections
        self.write(start + (b"" if request.keep_alive else b"Connection: close\r\n") + b"\r\n")
        pipe.attach(request, not self._clogged)

    def write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def finished(self, request: ClientRequest) -> None:
        """A long answer is written whole."""
        if not self._waiting or self._waiting[0] is not request:
            return
        self._waiting.popleft()
        self.since = self.frontend.clock()
        if (not request.keep_alive or self._ended) and not self._waiting:
            self._close()
        self.flush()

    def pause_writing(self) -> None:
        self._clogged = True
        self._flow()
        self._throttle()

    def resume_writing(self) -> None:
        self._clogged = False
        self._flow()
        self._throttle()

    def _flow(self) -> None:
        if (
            self._waiting
            and (pipe := self._waiting[0].response_stream) is not None
            and self._waiting[0].response_head is None
        ):
            self._waiting[0].last_progress = self.frontend.clock()
            pipe.set_writable(not self._clogged)

    # The source of a long body.

    def set_paused(self, stop: bool) -> None:
        self._released = False
        if self._held is stop:
            return
        now = self.frontend.clock()
        if not stop and self._transport is not None and now - self._there_at > STILL:
            # What came before the client left is still unread: with it the body would become whole, and run.
            self._look()
            if self._transport is None:
                return
            if self._ended_at is not None and not self._cleared:
                self._released = True  # and it goes on once it is known to wait half-closed
                return
        self._held = stop
        self._body_since, self._body_at = now, self._size
        self._throttle()

    def abandon(self) -> None:
        """Its server is gone; what becomes of the request is decided elsewhere."""

    def refuse_rest(self) -> None:
        """The request has its answer before its body has come: the rest is read and dropped."""
        self._rejected, self._held, self._upload = True, False, None
        self._reading, self._linger = False, (LINGER_LONG, MAX_LONG)

    def _throttle(self) -> None:
        """Read on only while answers are taken off: what one client does not read would fill the memory."""
        stop = self._clogged or self._held or len(self._waiting) >= MAX_PIPELINE
        stop = stop or (self._rejected and bool(self._waiting))
        if self._transport is None or self._transport.is_closing() or stop is self._paused:
            return
        self._paused = stop
        if stop:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _reject(self, status: int) -> None:
        self._rejected = True
        last = ClientRequest(self, keep_alive=False)
        self._waiting.append(last)
        last.respond(status)

    def _close(self) -> None:
        """Close behind an answer: a half-close first, and what still comes is read off for a while (lingering
        close), or a reset would eat the answer."""
        transport, self._transport = self._transport, None
        if transport is None:
            return
        self._lingering, self._rejected = transport, True
        self._depart()
        if transport.is_closing():
            return
        if self._paused:
            transport.resume_reading()
        transport.write_eof()
        asyncio.get_running_loop().call_later(self._linger[0], transport.close)

    def close_idle(self) -> bool:
        """Close between two requests, unless one has come that the loop has not read: it would be lost. The
        end goes out in the same step as the look; what comes after it has crossed it, and is sent anew."""
        transport = self._transport
        if transport is None or transport.is_closing() or self._unread:
            return False
        if transport.get_write_buffer_size() == 0:
            fd = transport.get_extra_info("socket").fileno()
            end = socket.socket(socket.AF_INET, socket.SOCK_STREAM, 0, fileno=fd)
            with contextlib.suppress(OSError):
                end.shutdown(socket.SHUT_WR)
            end.detach()
        self._transport, self._lingering, self._rejected = None, transport, True
        transport.close()
        return True

    @property
    def _unread(self) -> bool:
        """Whether a request has come that the loop has not read yet: closing now would lose it."""
        assert self._transport is not None
        fd = self._transport.get_extra_info("socket").fileno()
        return fd >= 0 and bool(struct.unpack("i", fcntl.ioctl(fd, termios.FIONREAD, b"\0" * 4))[0])

    def check(self, now: float) -> None:
        """Close what is silent, and answer what comes too slowly: both hold a descriptor and memory."""
        age = now - self.since
        if self._transport is None:
            return
        if self._upload is not None:
            if self._paused:
                self._look()
            if self._transport is not None:
                self._check_upload(now)
        elif self._waiting:
            first = self._waiting[0]
            if self._paused and not self._ended:
                self._look()
            elif first.response_stream is not None and self._clogged and now - first.last_progress > STALLED:
                log.warning("a client took nothing of its long answer")
                self.abort()
        elif not self._reading:
            if age > IDLE or self.frontend.ending:
                self.close_idle()
        elif not self._head_read:
            if age > HEAD:
                self._reject(408)
        elif (body := now - self._body_since) > SLOW or age > HEAD:
            # A head that came late leaves its body less time: a bad client's answer is due from its coming.
            if body > LONGEST or self._size < FLOW * body:
                self._reject(408)

    def _look(self) -> None:
        """While its input is not read, nothing else tells that a client has gone."""
        assert self._transport is not None
        poll, now = select.poll(), self.frontend.clock()
        poll.register(self._transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
        if not (found := poll.poll(0)):
            self._there_at = now
        elif found[0][1] & ~select.POLLRDHUP:
            self.abort()
        else:
            if self._ended_at is None:
                self._ended_at = self._there_at
            self._doubt()

    def is_connected(self) -> bool:
        """Whether an attempt may begin: looked up where the loop may not have been told, and where the client
        was not there a moment ago. Who has just ended its sending may wait half-closed, and is served."""
        if self._transport is None or self._transport.is_closing():
            return False
        if self._ended_at is None and self.frontend.clock() - self._there_at <= STILL:
            return True
        self._look()
        if self._transport is None:
            return False
        if self._ended_at is not None and self.frontend.clock() - self._ended_at > STILL:
            self._strand()
            return False
        return True

    def _check_upload(self, now: float) -> None:
        """A long body may take its time as long as it flows; held up by its server it need not."""
        age = now - self._body_since
        if self._held or age <= SLOW or self._size - self._body_at >= FLOW * age:
            return
        request = self._waiting[-1]
        self.frontend.handler.on_client_disconnected(request)
        request.respond(408)

    def evict(self) -> bool:
        """Make room, unless a request, or the rest of one, has come that the loop has not read."""
        if self._transport is not None and not self._reading:
            return self.close_idle()
        if self._transport is not None and self._unread:
            return False
        self.abort()
        return True

    def abort(self) -> None:
        self._depart()
        self._lingering, self._transport = self._transport or self._lingering, None
        if self._lingering is not None:
            self._lingering.abort()


class ClientListener:
    """The listener and its connections."""

    def __init__(
        self,
        handler: RequestHandler,
        settings: model.Settings,
        max_connections: int,
        figures: Metrics | None = None,
    ) -> None:
        self.clock = asyncio.get_running_loop().time
        self.handler, self.parser = handler, RequestParser(settings, self.clock)
        self.metrics = figures or Metrics()
        self.draining = False
        self.ending = False  # no idle connection is kept any more
        self.open_request_ids = set[bytes]()
        self._max = max_connections
        self._crowd = CROWDED * max_connections
        self.active_connections = 0  # connections that have sent something
        self._sweep_at: asyncio.TimerHandle | None = None
        self._clients = dict[_Client, None]()  # in the order of their coming
        self._server: asyncio.Server | None = None
        self._queue: socket.socket | None = None  # the same listening socket, for its last clients
        self._handed = False
        self._empty = asyncio.Event()

    async def listen(
        self, host: str, port: int, inherited: socket.socket | None = None, beside: bool = False
    ) -> tuple[str, int]:
        """Take connections at an address, which another process may have too, or from a listening socket."""
        loop = asyncio.get_running_loop()
        self._handed = inherited is not None
        if inherited is None:
            self._server = await loop.create_server(
                lambda: _Client(self), host, port, backlog=BACKLOG, reuse_port=beside or None
            )
            # Held from the start: in want of a descriptor there would be none to empty it by.
            self._queue = socket.socket(fileno=os.dup(self._server.sockets[0].fileno()))
            self._queue.setblocking(False)
        else:
            inherited.setblocking(False)
            self._server = await loop.create_server(lambda: _Client(self), sock=inherited, backlog=BACKLOG)
        self._sweep()
        address = self._server.sockets[0].getsockname()
        return address[0], address[1]

    def connected(self, client: _Client) -> None:
        """Count a connection; at the limit another one makes room, and with all busy the new one goes."""
        if len(self._clients) >= self._max:
            ranked = [(rank, c) for c in self._clients if (rank := c.rank) is not None]
            if not any(other.evict() for _, other in sorted(ranked, key=lambda each: each[0])):
                log.warning("out of client connections")
                client.abort()
        self._clients[client] = None

    def _sweep(self) -> None:
        if self._sweep_at is not None:
            self._sweep_at.cancel()
        self._sweep_at = asyncio.get_running_loop().call_later(SWEEP, self._sweep)
        now = self.clock()
        for client in list(self._clients):
            client.check(now)

    def disconnected(self, client: _Client) -> None:
        self._clients.pop(client, None)
        if not self._clients:
            self._empty.set()

    @property
    def closes_connections(self) -> bool:
        """Whether answers say that their connection closes."""
        return self.draining or self.active_connections > self._crowd

    def start_draining(self) -> None:
        """From now on every answer says that its connection closes."""
        self.draining = True

    def set_max_connections(self, max_connections: int) -> None:
        """Another bound, while another process holds the rest: clients leave the old one for good then, so
        that closing behind every answer would only make them connect twice."""
        self._max = max_connections

    async def stop_accepting(self) -> None:
        """Take no more connections; the socket stays with whoever else holds it. Where nobody does, those in
        the accept queue are up already for their clients, and would be reset with what they have sent."""
        server, self._server = self._server, None
        if server is None:
            return
        if self._handed:
            return server.close()
        server.close()
        loop, until = asyncio.get_running_loop(), self.clock() + ROOM
        assert self._queue is not None
        with self._queue as queue:
            try:
                while True:
                    taken, _ = await self._with_room(queue.accept, until)
                    await loop.connect_accepted_socket(lambda: _Client(self), taken)
            except BlockingIOError:
                pass
            except OSError as error:
                log.error("the accept queue could not be emptied: %r", error)

    async def _with_room(self, take: Callable[[], T], until: float) -> T:
        """What needs a descriptor; where none is left, the answers under way soon leave one."""
        while True:
            try:
                return take()
            except BlockingIOError:
                raise
            except OSError:
                if self.clock() > until:
                    raise
            await asyncio.sleep(0.01)

    async def wait_until_empty(self, grace: float) -> None:
        """Wait for all connections to end by their answers, or idle as on any day."""
        self._empty.clear()
        if self._clients:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._empty.wait(), grace)

    async def close(self, grace: float) -> None:
        """Stop listening, close what is idle, and wait for the rest to be answered and closed. The sweep
        goes on: a connection may become idle only now, and a slow sender is still owed its error."""
        await self.stop_accepting()
        await asyncio.sleep(0)  # what has just been accepted is known here then
        self.ending = True
        self._sweep()
        await self.wait_until_empty(grace)
        if self._sweep_at is not None:
            self._sweep_at.cancel()
