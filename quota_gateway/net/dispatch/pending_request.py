"""A request that has no final response yet."""

from __future__ import annotations

import asyncio
import math

from quota_gateway import model
from quota_gateway.net.client.request import ClientRequest
from quota_gateway.net.upstream.exchange import Exchange


class PendingRequest:
    """A request from its arrival to its final response, with its attempts in their order.

    Its class and its maximum number of attempts come from the settings at its arrival. It has no deadline
    before the last byte of its upload has arrived.
    """

    __slots__ = ("attempts", "deadline", "event", "max_attempts", "request", "request_class", "timer")

    def __init__(
        self,
        request: ClientRequest,
        event: model.Request,
        request_class: model.RequestClass | None,
        max_attempts: int,
    ) -> None:
        """Create a request without attempts; ``request_class`` is None if the class is unknown."""
        self.request = request
        self.event = event
        self.request_class = request_class
        self.max_attempts = max_attempts
        self.deadline = math.inf  # seconds of the dispatcher's clock
        self.attempts: list[Exchange] = []  # an attempt's number is its index
        self.timer: asyncio.TimerHandle | None = None  # responds after the deadline unless the decisions have

    @property
    def has_deadline(self) -> bool:
        """Whether the last byte of the request has arrived, so that its timeout has started."""
        return self.deadline < math.inf

    def start_deadline(self, deadline: float, timer: asyncio.TimerHandle) -> None:
        """Start the timeout; ``timer`` is cancelled when the request ends."""
        self.deadline = deadline
        self.timer = timer

    def detach_attempt(self, attempt: Exchange) -> None:
        """Remove an attempt whose response is being streamed, so that it is not cancelled with the others."""
        self.attempts.remove(attempt)

    def forbid_further_attempts(self) -> None:
        """Allow no further attempt."""
        self.max_attempts = len(self.attempts)

    def end(self) -> None:
        """Stop the timeout: the request has its final response, or its client has disconnected."""
        if self.timer is not None:
            self.timer.cancel()

    def may_be_executing(self) -> bool:
        """Whether an endpoint may be executing the request: an attempt has been written completely."""
        return any(attempt.request_written for attempt in self.attempts)
