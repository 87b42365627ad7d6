"""Reads the requests of one connection: heads, framing and sizes."""

from __future__ import annotations

import enum
import logging
from collections.abc import Callable
from typing import Protocol

import httptools

from quota_gateway.net.client.head_parser import HEAD_END, HeadParser
from quota_gateway.net.client.input_backlog import InputSocket
from quota_gateway.net.client.request_body import RequestBody, UploadObserver
from quota_gateway.net.client.request_head import RequestHead
from quota_gateway.net.client.request_parser import BadRequestError
from quota_gateway.net.client.unread_upload import UnreadUpload
from quota_gateway.net.common.body_framing import BodyDecoder, FramingError, LengthDecoder
from quota_gateway.net.common.body_stream import BodyStream
from quota_gateway.net.common.http_common import MAX_BUFFERED_BODY_BYTES, MAX_HEAD_BYTES
from quota_gateway.net.common.memory_budget import MemoryBudget

log = logging.getLogger(__name__)

SHORT_INPUT_BYTES = 64
STATUS_BAD_REQUEST = 400
STATUS_INTERNAL_ERROR = 500
HEAD_TIMEOUT_SECONDS = 2.5  # a slow client needs 2 s for a head, and a faulty one must be answered within 3 s


class RequestReceiver(UploadObserver, Protocol):
    """The connection whose requests are read."""

    def on_request_started(self, *, is_first: bool) -> float:
        """Return the time at which the timeouts of a new request begin.

        Raises BadRequestError if too many requests of the connection are unanswered.
        """

    def on_continue_expected(self) -> None:
        """Invite the client to send the body."""

    def on_request_read(
        self, head: RequestHead, body: bytes, upload: BodyStream | None, *, keep_alive: bool
    ) -> None:
        """Accept a request whose body is complete or, if it is long, whose upload has begun.

        Raises BadRequestError if the request is not valid, after setting its response.
        """

    def on_upload_completed(self) -> None:
        """Handle the complete receipt of the last request's upload; its stream ends after this call."""

    def reject(self, status: int) -> None:
        """Respond to malformed input, and close the connection."""


class ReaderPhase(enum.Enum):
    """The part of a request that is expected next."""

    BETWEEN_REQUESTS = enum.auto()
    HEAD = enum.auto()
    BODY = enum.auto()
    STOPPED = enum.auto()  # final: all further input is discarded


# Compared for each part of a request, and a lookup in an enum class is slow.
_BETWEEN_REQUESTS = ReaderPhase.BETWEEN_REQUESTS
_HEAD = ReaderPhase.HEAD
_BODY = ReaderPhase.BODY
_STOPPED = ReaderPhase.STOPPED


class RequestReader:
    """Turns received bytes into requests.

    BETWEEN_REQUESTS -> HEAD -> BODY -> BETWEEN_REQUESTS, and any of them -> STOPPED. ``HeadParser`` decides
    where a head ends, and the decoder of the body where the message ends.
    """

    __slots__ = (
        "_accepts_further_requests",
        "_has_read_request",
        "_head_parser",
        "_receiver",
        "_started_at",
        "body",
        "body_decoder",
        "head",
        "phase",
    )

    def __init__(self, receiver: RequestReceiver, clock: Callable[[], float], budget: MemoryBudget) -> None:
        """Create the reader of a new connection."""
        self._receiver = receiver
        self._started_at = 0.0  # when the timeouts of the current request began
        self._has_read_request = False  # whether any request has been received completely
        self._accepts_further_requests = True  # whether no request has announced the end of the connection
        self.phase = _BETWEEN_REQUESTS
        self.body = RequestBody(receiver, clock, budget)
        self.body_decoder: BodyDecoder = LengthDecoder(0)  # of the last request
        self.head = RequestHead()
        self._head_parser = HeadParser(self.head, self._begin_request)

    @property
    def in_request(self) -> bool:
        """Whether a part of a request has been received, and its rest has not."""
        return self.phase is _HEAD or self.phase is _BODY

    @property
    def in_body_with_length(self) -> bool:
        """Whether a body is being received that costs little to parse, as it is not in chunks."""
        return self.phase is _BODY and self.head.content_length is not None

    @property
    def is_stopped(self) -> bool:
        """Whether all further input is discarded."""
        return self.phase is _STOPPED

    def stop(self) -> None:
        """Parse no more input, and drop the request that is incomplete."""
        self.phase = _STOPPED
        self._head_parser.release()
        self.head.release()
        self.body.release()

    @property
    def used_bytes(self) -> int:
        """The memory that the request which is being read uses."""
        if self.phase is _HEAD:
            return self.head.used_bytes
        return self.head.used_bytes + self.body.used_bytes if self.phase is _BODY else 0

    def stop_upload(self) -> None:
        """Parse no more input, and release the upload, whose request has already been answered."""
        self.phase = _STOPPED
        self._head_parser.release()
        self.body.discard_upload()

    def is_overdue(self, now: float) -> bool:
        """Whether the current request takes too long."""
        head_timeout_passed = now - self._started_at > HEAD_TIMEOUT_SECONDS
        if self.phase is _HEAD:
            return head_timeout_passed
        return self.body.is_overdue(now, head_timeout_passed=head_timeout_passed)

    def is_completed_by(self, unparsed: InputSocket) -> bool:
        """Whether the input that waits ends the head or the body that is being received."""
        data = unparsed.peek_input(MAX_HEAD_BYTES)
        if self.phase is _HEAD:
            return self._head_parser.is_ended_by(data)
        rest = UnreadUpload(unparsed, self.body_decoder)
        # A look takes time, and is repeated: mostly it need not be taken.
        may_hold_end = HEAD_END in data or len(data) <= SHORT_INPUT_BYTES
        if may_hold_end and rest.has_unexamined_input():
            rest.look_ahead()
        return rest.has_end()

    def exclude_pause(self, now: float, seconds: float) -> None:
        """Do not count the last ``seconds``, in which no input was read, for the timeouts."""
        self._started_at = min(now, self._started_at + seconds)
        self.body.exclude_pause(now, seconds)

    def feed(self, data: bytes) -> None:
        """Parse received bytes; malformed input is answered and ends the connection."""
        try:
            self._parse(data)
        except (BadRequestError, FramingError, httptools.HttpParserError) as error:
            self._reject(_status_for(error))
        except Exception:
            log.exception("a request could not be handled")
            self._reject(STATUS_INTERNAL_ERROR)
        else:
            self.body.flush()

    def _reject(self, status: int) -> None:
        if self.phase is not _STOPPED:  # otherwise the response has been sent
            self._receiver.reject(status)

    def _parse(self, data: bytes) -> None:
        offset = 0
        while offset < len(data):
            if self.phase is _BODY:
                offset = self._parse_body(data, offset)
            elif self.phase is _STOPPED:
                return
            else:
                offset = self._parse_head(data, offset)

    def _parse_head(self, data: bytes, start: int) -> int:
        if not self._accepts_further_requests:
            if data[start:].strip(b"\r\n"):
                raise BadRequestError(400, "a request behind the last one of the connection")
            return len(data)
        parser = self._head_parser
        end = parser.feed(data, start)
        if parser.is_complete:
            self.head.finish(parser.method, parser.http_version)
            self._accepts_further_requests = parser.keeps_alive
            parser.begin()
            self._begin_body()
        elif self.phase is _HEAD and not self.head.add_unparsed_input(end - start):
            # The parser buffers a header line until its end, so no callback would notice an endless one.
            raise BadRequestError(400, "head too large")
        return end

    def _begin_request(self) -> None:
        """Start a request, whose first byte was received."""
        self.phase = _HEAD
        self.head.begin()
        self._started_at = self._receiver.on_request_started(is_first=not self._has_read_request)

    def _begin_body(self) -> None:
        head = self.head
        self.phase = _BODY
        self.body.begin()
        self.body_decoder = head.new_body_decoder()
        if head.expects_continue:
            self._receiver.on_continue_expected()
        if head.content_length is not None and head.content_length > MAX_BUFFERED_BODY_BYTES:
            self._start_upload()
        elif self.body_decoder.is_complete:
            self._complete_request()

    def _parse_body(self, data: bytes, start: int) -> int:
        part = self.body_decoder.decode(data, start)
        if part.payload:
            self.body.append(part.payload)
            if self.body.is_too_long_to_buffer:
                self._start_upload()
        if self.body_decoder.is_complete and self.phase is not _STOPPED:
            self._complete_request()
        return part.end

    def _start_upload(self) -> None:
        """Pass on a request before its body has been received completely."""
        if self.head.method != b"POST":
            raise BadRequestError(413, "body too large")
        upload = self.body.start_upload(self.head.content_length)
        self._receiver.on_request_read(self.head, b"", upload, keep_alive=self._accepts_further_requests)

    def _complete_request(self) -> None:
        """Pass on the request, or end its upload if it is streamed."""
        self.phase = _BETWEEN_REQUESTS
        self._has_read_request = True
        if self.body.upload is None:
            body = self.body.buffered()
            self._receiver.on_request_read(self.head, body, None, keep_alive=self._accepts_further_requests)
            return
        upload = self.body.end_upload()
        self._receiver.on_upload_completed()
        upload.finish()


def _status_for(error: BadRequestError | FramingError | httptools.HttpParserError) -> int:
    """Return the status of the response to malformed input."""
    cause = error.__context__ if isinstance(error, httptools.HttpParserCallbackError) else error
    if isinstance(cause, BadRequestError):
        return cause.status
    if cause is not error:
        log.error("a request could not be handled", exc_info=cause)
        return STATUS_INTERNAL_ERROR
    return STATUS_BAD_REQUEST
