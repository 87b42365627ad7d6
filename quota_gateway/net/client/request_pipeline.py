"""The requests and responses of one client connection, from the received bytes to the written ones."""

from __future__ import annotations

import time
from typing import Protocol

from quota_gateway.net.client.arrival_times import ArrivalTimes
from quota_gateway.net.client.input_backlog import BODY_SLICE_BYTES, SLICE_BYTES, InputBacklog, UnparsedInput
from quota_gateway.net.client.liveness import ClientLiveness
from quota_gateway.net.client.request import ClientRequest
from quota_gateway.net.client.request_head import RequestHead
from quota_gateway.net.client.request_intake import RequestIntake
from quota_gateway.net.client.request_parser import BadRequestError
from quota_gateway.net.client.request_reader import RequestReader
from quota_gateway.net.client.response_queue import MAX_PIPELINED_REQUESTS, ResponseQueue
from quota_gateway.net.client.shared_state import SharedState
from quota_gateway.net.client.stats import CloseReason
from quota_gateway.net.client.transport import ClientTransport
from quota_gateway.net.client.unread_upload import UnreadUpload
from quota_gateway.net.client.upload_monitor import UploadMonitor
from quota_gateway.net.common.body_stream import BodyStream
from quota_gateway.net.common.memory_budget import MemoryUsage

# The part of an incomplete request that is read even if there is no memory for longer ones.
UNRESERVED_BYTES = 2048
STATUS_OUT_OF_MEMORY = 503
INTERIM_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class ConnectionCloser(Protocol):
    """Closes the connection of a pipeline."""

    def close_after_response(self) -> None:
        """Close the connection after the response that was written last."""

    def abort(self, reason: CloseReason) -> None:
        """Reset the connection."""


class RequestPipeline:
    """Connects the reader, the response queue and the liveness check of one connection.

    These parts do not refer to each other. Only ``update_reading`` pauses or resumes reading.
    """

    __slots__ = (
        "_arrival_times",
        "_backlog",
        "_closer",
        "_intake",
        "_is_scheduled",
        "_last_read_at",
        "_memory",
        "_paused_at",
        "_resumed_at",
        "_transport",
        "_upload_monitor",
        "liveness",
        "queue",
        "reader",
        "shared",
    )

    def __init__(
        self, transport: ClientTransport, closer: ConnectionCloser, intake: RequestIntake, shared: SharedState
    ) -> None:
        """Create the pipeline of a new connection."""
        self._transport = transport
        self._closer = closer
        self._intake = intake
        self._upload_monitor: UploadMonitor | None = None  # of the upload that is being received, if any
        self._backlog = InputBacklog()
        self._last_read_at = 0.0
        self._resumed_at = 0.0  # when reading was last resumed
        self._paused_at = 0.0  # when reading was last paused, by the clock of the clients
        self._is_scheduled = False  # whether the connection waits for its turn to parse the backlog
        self._memory = MemoryUsage(shared.budget)
        self.shared = shared
        self.reader = RequestReader(self, shared.client_clock, shared.budget)
        self.liveness = ClientLiveness(transport, self, shared.clock)
        self.queue = ResponseQueue(transport, shared)
        self._arrival_times = ArrivalTimes(transport, self.liveness, shared)

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or answered, and no input waits to be parsed."""
        is_reading = self.reader.in_request or self.reader.body.upload is not None
        return not self.queue and not is_reading and not self._backlog

    @property
    def has_backlog(self) -> bool:
        """Whether input that was read waits to be parsed."""
        return bool(self._backlog)

    def update_reading(self) -> None:
        """Pause or resume reading and parsing.

        Reading is also paused while the upload is paused, while input that was read waits to be parsed, and
        while responses are pending after the reader has stopped.
        """
        self._memory.update(0 if self._transport.is_closed else self._used_bytes())
        is_blocked = self._is_blocked()
        if self._backlog and not is_blocked and not self._is_scheduled:
            self._is_scheduled = True
            self.shared.input_scheduler.add(self.parse_backlog)
        paused = is_blocked or self.reader.body.paused or bool(self._backlog)
        paused = paused or (bool(self.queue) and self.reader.is_stopped)
        if paused is not self._transport.reading_paused:
            self._transport.set_reading_paused(paused=paused)
            self._record_pause(paused=paused)

    def _record_pause(self, *, paused: bool) -> None:
        """Exclude the time in which no input is read from the timeouts of the client."""
        now = self.shared.client_clock()
        if paused:
            self._paused_at = now
        else:
            self.reader.exclude_pause(now, now - self._paused_at)
            self._resumed_at = self.shared.clock()

    def _is_blocked(self) -> bool:
        """Whether no input is parsed for now.

        Unsent responses would fill the memory, so this is the case while the client accepts no output or too
        many requests are unanswered.
        """
        return self.queue.write_blocked or len(self.queue) >= MAX_PIPELINED_REQUESTS

    def _used_bytes(self) -> int:
        """Return the memory that the connection uses beyond that of its own objects."""
        held = len(self._backlog) + self.reader.used_bytes + self._transport.unwritten_size()
        for request in self.queue:
            held += request.used_bytes
        return held

    def set_write_blocked(self, *, blocked: bool) -> None:
        """Record whether the client accepts output; while it does not, responses and input wait."""
        self.queue.set_write_blocked(blocked=blocked)
        self.update_reading()

    def disconnect(self) -> None:
        """End all requests: their responses can no longer be written."""
        self._backlog.clear()
        self.queue.disconnect(self._intake)
        self._memory.update(0)

    # Input and the requests that it contains.

    def receive(self, data: bytes) -> None:
        """Parse received bytes, at most for a short time, or discard them once the reader has stopped."""
        if self.reader.is_stopped and not self._backlog:
            self._discard(len(data))
            return
        self._last_read_at = self.shared.clock()
        self.shared.stalls.record_iteration(self._last_read_at)
        self._backlog.append(data)
        burst_end = self.shared.input_scheduler.burst_end()
        if burst_end is not None:
            self._parse(burst_end)
        self.update_reading()

    def parse_backlog(self, until: float) -> None:
        """Parse a part of the input that waits, and more until ``time.perf_counter`` returns ``until``."""
        self._is_scheduled = False
        if not self._is_blocked():
            self._parse(until)
        self.update_reading()

    def _parse(self, until: float) -> None:
        """Parse a slice of the backlog, and further ones until ``time.perf_counter`` returns ``until``."""
        while self._backlog:
            if self.reader.is_stopped:
                size = len(self._backlog)
                self._backlog.clear()
                self._discard(size)
                return
            is_cheap = self.reader.in_body_with_length
            data = self._backlog.take_slice(BODY_SLICE_BYTES if is_cheap else SLICE_BYTES)
            self.reader.feed(data)
            if self.reader.in_request and self._exceeds_memory():
                self.shared.stats.record_out_of_memory()
                self.reject(STATUS_OUT_OF_MEMORY)
            if self._is_blocked() or time.perf_counter() >= until:
                return

    def _exceeds_memory(self) -> bool:
        """Whether the request that is being read needs more memory than there is.

        A streamed upload does not count: it is read no faster than its endpoint accepts it.
        """
        is_small = self.reader.used_bytes <= UNRESERVED_BYTES
        if is_small or self.reader.body.upload is not None:
            return False
        self._memory.update(self._used_bytes())
        return self.shared.budget.is_exhausted

    def _discard(self, size: int) -> None:
        is_within_limit = self._transport.count_discarded(size)
        is_anything_owed = bool(self.queue) or self._transport.has_undelivered_output
        if not is_within_limit and not is_anything_owed:
            self._closer.abort(CloseReason.TOO_MUCH_INPUT)

    def on_request_started(self, *, is_first: bool) -> float:
        """Return the time at which the timeouts of a request begin; for the first one, it is the connect."""
        return self.queue.active_at if is_first else self.queue.start_request()

    def on_continue_expected(self) -> None:
        """Invite the client to send the body, unless earlier responses are pending."""
        if not self.queue:
            self._transport.write(INTERIM_RESPONSE)

    def on_request_read(
        self, head: RequestHead, body: bytes, upload: BodyStream | None, *, keep_alive: bool
    ) -> None:
        """Queue a request and pass it to the intake; raise BadRequestError if it was answered as invalid."""
        request = ClientRequest(
            self,
            keep_alive=keep_alive,
            is_http_1_0=head.http_version == "1.0",
            upload=upload,
            arrived_at=self._arrival_times.record_read(),
        )
        self.queue.append(request)
        if upload is not None:
            self._begin_upload(request)
        try:
            self._intake.accept(request, head, body)
        except BadRequestError as error:
            # A client that sends one malformed request sends more, so the response closes the connection.
            self.reader.stop_upload()
            request.reject_malformed(error.status)
            raise
        if self.queue:  # otherwise its response was written already, which called update_reading
            self.update_reading()

    def _begin_upload(self, request: ClientRequest) -> None:
        self._transport.limit_receive_buffer()
        unread = UnreadUpload(UnparsedInput(self._transport, self._backlog), self.reader.body_decoder)
        self._upload_monitor = UploadMonitor(
            request, unread, self._arrival_times, self._intake, self.shared.input_scheduler
        )

    def on_upload_completed(self) -> None:
        """Record the arrival of the last request's upload, which has been read completely."""
        monitor = self._upload_monitor
        assert monitor is not None
        self._upload_monitor = None
        monitor.on_read_completely()

    def check_unread_upload(self) -> None:
        """Start the timeout of an upload whose last byte waits unread: an attempt is about to state it."""
        if self._upload_monitor is not None:
            self._upload_monitor.check_arrival(self.shared.clock())

    def reject(self, status: int) -> None:
        """Respond to malformed or overdue input after the queued requests, and close the connection."""
        self.reader.stop()
        request = ClientRequest(self, keep_alive=False)
        self.queue.append(request)
        request.respond(status)

    def discard_upload(self) -> None:
        """Discard the rest of an upload whose request has already been answered."""
        self.reader.stop_upload()
        self._transport.extend_linger_limits()

    def may_resume_upload(self) -> bool:
        """Whether the client is still connected; only then may its unread input be read."""
        return not self.liveness.is_possibly_disconnected()

    def has_unread_input(self) -> bool:
        """Whether the client has sent something that has not been parsed."""
        return bool(self._backlog) or self._transport.has_unread_input

    def has_request_in_input(self) -> bool:
        """Whether the input that waits completes the request that is being received, or begins one."""
        if not self._backlog and not self._transport.has_unread_input:
            return False
        if not self.reader.in_request:
            return True
        return self.reader.is_completed_by(UnparsedInput(self._transport, self._backlog))

    def _may_have_missed_input(self) -> bool:
        """Whether input arrived while this process did not read, and is unread."""
        if not self._transport.has_unread_input:
            return False
        has_paused = self._resumed_at >= self._last_read_at
        return has_paused or self.shared.stalls.has_stalled_since(self._last_read_at)

    def _is_client_excused(self) -> bool:
        """Whether a client that seems to be too slow may have sent what is missing."""
        return self._may_have_missed_input() or self.has_request_in_input()

    # Responses.

    def write_responses(self) -> None:
        """Write the responses that are ready, in the order of their requests."""
        if self.queue.write_ready(input_ended=self.liveness.input_ended):
            self._closer.close_after_response()
        self.update_reading()

    def write(self, data: bytes) -> None:
        """Write a part of a streamed response, unless the connection is closing."""
        self._transport.write(data)

    def on_stream_finished(self, request: ClientRequest) -> None:
        """Write the responses that follow a completely written streamed one."""
        if self.queue.finish_stream(request, input_ended=self.liveness.input_ended):
            self._closer.close_after_response()
        self.write_responses()

    def abort(self, reason: CloseReason) -> None:
        """Reset the connection."""
        self._closer.abort(reason)

    # The liveness of the client.

    def end_input(self) -> bool:
        """Record the end of the input; return whether the client may wait half-closed for a response."""
        if not self.queue or self.reader.body.upload is not None:
            return False
        stalls = self.shared.stalls
        now = self.shared.clock()
        stalls.record_iteration(now)
        self.liveness.on_input_ended(stalls.input_arrived_after(now) if stalls.is_after_stall(now) else now)
        return True

    def has_queued_requests(self) -> bool:
        """Whether the client still waits for a response."""
        return bool(self.queue)

    def on_client_reset(self) -> None:
        """Abort the connection of a client that has disconnected."""
        self._closer.abort(CloseReason.CLIENT_DISCONNECTED)

    def on_confirmation_needed(self) -> None:
        """Send an interim response where HTTP allows one."""
        first = self.queue[0]
        if first.response_stream is None and not first.is_http_1_0:
            self._transport.write(INTERIM_RESPONSE)

    def on_client_maybe_disconnected(self) -> None:
        """Withdraw the unsent attempts; the responses to those in flight may still reach the client."""
        self.queue.withdraw_attempts(self._intake)

    def on_client_confirmed(self) -> None:
        """Resume a deferred upload: the client was confirmed to be half-closed."""
        self.reader.body.on_client_confirmed()

    # Timeouts.

    def check_timeouts(self, now: float) -> None:
        """Respond to a client that sends too slowly; notice the disconnect of one whose input is not read.

        A client whose input has not been read is not too slow.
        """
        client_now = self.shared.stalls.without_stalls(now)
        if self.reader.body.upload is not None:
            self._check_upload(now, client_now)
        elif self.reader.in_request and not self._transport.reading_paused:
            if self.reader.is_overdue(client_now) and not self._is_client_excused():
                self.reject(408)  # also while earlier requests wait for their responses
        elif self.queue and self._transport.reading_paused and not self.liveness.input_ended:
            self.liveness.poll()

    def _check_upload(self, now: float, client_now: float) -> None:
        if self._transport.reading_paused:
            self.liveness.poll()
            if self._upload_monitor is not None and self._transport.is_open:
                self._upload_monitor.check_unread(now)
        elif self._transport.is_open and self.reader.body.is_upload_stalled(client_now):
            if not self._is_client_excused():
                self._intake.time_out_upload(self.queue[-1])
