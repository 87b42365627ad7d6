"""The requests of one connection whose responses have not been written, in the order of their responses."""

from __future__ import annotations

from collections import deque
from typing import Protocol

from quota_gateway.net.client.request import ClientRequest
from quota_gateway.net.client.request_intake import RequestIntake
from quota_gateway.net.client.request_parser import BadRequestError
from quota_gateway.net.client.shared_state import SharedState

MAX_PIPELINED_REQUESTS = 8  # unanswered requests of one connection; most clients send one at a time


class ResponseOutput(Protocol):
    """The transport that responses are written to."""

    @property
    def is_open(self) -> bool:
        """Whether responses may be written."""

    def write(self, data: bytes) -> None:
        """Write a response or a part of it."""


class ResponseQueue(deque[ClientRequest]):
    """Writes the responses in the order of their requests: only the first one in the queue is written.

    Methods that write return whether the connection must be closed after the response that was written last.
    """

    __slots__ = ("_output", "_shared", "active_at", "write_blocked")

    def __init__(self, output: ResponseOutput, shared: SharedState) -> None:
        """Create the queue of a new connection."""
        super().__init__()
        self._output = output
        self._shared = shared
        self.active_at = shared.client_clock()  # last connect, start of a request or end of a response
        self.write_blocked = False  # whether the client accepts no more data for now

    def start_request(self) -> float:
        """Record the start of a request after the connection's first one, and return the time.

        Raises BadRequestError if too many requests are unanswered.
        """
        now = self._shared.client_clock()
        if not self:
            self.active_at = now
        elif len(self) > MAX_PIPELINED_REQUESTS:
            # Parsing is paused at this number; input that is parsed at once may start one further request.
            raise BadRequestError(400, "too many pipelined requests")
        return now

    def write_ready(self, *, input_ended: bool) -> bool:
        """Write the responses that are ready; ``input_ended`` is whether the client has ended its input."""
        while self and self._output.is_open:
            request = self[0]
            if request.response_head is None:
                request.start_stream(
                    closes=self._shared.closes_after_response, writable=not self.write_blocked
                )
                break  # later responses wait until the streamed one is finished
            self.popleft()
            self.active_at = self._shared.client_clock()
            # A drain or an end of input closes the connection only after the last queued response, because
            # all queued requests have been accepted.
            closes = not self and (self._shared.closes_after_response or input_ended)
            closes = closes or not request.keep_alive
            self._output.write(request.response_bytes(closes=closes))
            if closes:
                return True
        return False

    def finish_stream(self, request: ClientRequest, *, input_ended: bool) -> bool:
        """Remove a request whose streamed response is complete; return whether to close the connection."""
        if not self or self[0] is not request:
            return False
        self.popleft()
        self.active_at = self._shared.client_clock()
        return not self and (not request.keep_alive or input_ended)

    def set_write_blocked(self, *, blocked: bool) -> None:
        """Pause or resume the streamed response, depending on whether the client accepts more data."""
        self.write_blocked = blocked
        if self:
            self[0].set_client_writable(writable=not blocked)

    def unanswered_ids(self) -> list[str]:
        """Return the ids of the requests that have no response."""
        return [request.request_id.decode("latin-1") for request in self if not request.is_answered]

    def withdraw_attempts(self, intake: RequestIntake) -> None:
        """Withdraw the unsent attempts of all unanswered requests."""
        for request in list(self):
            if not request.is_answered:
                intake.withdraw(request)

    def disconnect(self, intake: RequestIntake) -> None:
        """Remove and end all requests: their responses can no longer be written."""
        requests = list(self)
        self.clear()
        for request in requests:
            intake.disconnect(request)
