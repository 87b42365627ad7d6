"""One client connection: parses requests, keeps their answers in order."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import logging
import re
import select
import socket
import struct
import termios
from collections import deque
from typing import TYPE_CHECKING, cast

import httptools

from quota_gateway.net.body_stream import BodyStream
from quota_gateway.net.client_request import ClientRequest
from quota_gateway.net.http_common import MAX_BODY, MAX_HEAD, MAX_LONG, NOT_FORWARDED, PIECE
from quota_gateway.net.request_parser import READ, REQUEST_ID, TIMEOUT, WHOLE, BadRequestError

if TYPE_CHECKING:
    from quota_gateway.net.listener import ClientListener

log = logging.getLogger(__name__)

MAX_PIPELINE = 8  # unanswered requests of one connection: clients send one at a time
IDLE = 2.05  # seconds without an open request: a keep-alive may be closed after 2, a bad client must be by 3
SLOW = 2.05  # seconds that a body may take to come, unless it keeps flowing
HEAD = 2.5  # seconds that a head may take: a slow client's takes 2, a bad one must be answered by 3
FLOW, LONGEST = 8192, 5.0  # bytes a second that count as flowing; and even then no longer than this if short
STALLED = 15.0  # seconds in which a client takes nothing of a long answer, until it is given up
GONE = 0.1  # seconds in which a client that has gone shows it: a way there and back, and a slow loop
# Seconds after the end of a client's sending in which an attempt for it may still begin: 0.1 s are allowed,
# and a slow loop needs its part of them. So long a client that was there is taken to be there with no look.
STILL = 0.05
LINGER = 0.5  # seconds that a refused sender's input is still drained, or it would not see why
LINGER_BYTES = 128 * 1024  # and how much of it: draining 60 MB would be the sender's to command
LINGER_LONG = 5.0  # but the long body of a proper request that was refused early is read off
ABSOLUTE = re.compile(rb"https?://[^/?#]+(?=/)", re.IGNORECASE)
TARGET = re.compile(rb"[!-~]+")


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
