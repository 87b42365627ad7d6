"""How exchanges end: completed, expired, cancelled or withdrawn."""

from __future__ import annotations

from quota_gateway.model import CallStatus
from quota_gateway.net.common.metrics import Metrics
from quota_gateway.net.upstream.exchange import Clock, Exchange
from quota_gateway.net.upstream.stats import AttemptStats


class ExchangeControl:
    """Ends each exchange exactly once, and counts how."""

    __slots__ = ("_clock", "_metrics", "_stats")

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        """``clock`` is the pool's; ``metrics`` counts the attempts whose request is written."""
        self._clock = clock
        self._metrics = metrics
        self._stats = AttemptStats()

    def set_expiry(self, exchange: Exchange, at: float) -> None:
        """Have an exchange whose upload is complete expire at the time ``at``."""
        if not exchange.completed:
            exchange.set_expiry(self._clock(), at, self.expire)

    def withdraw_unsent(self, exchange: Exchange) -> None:
        """End an exchange if no connection carries it yet."""
        if exchange.connection is None:
            self._abandon(exchange, CallStatus.NOT_SENT)

    def cancel(self, exchange: Exchange) -> None:
        """Cancel an exchange; its connection is closed, so that no late response answers another request."""
        self._abandon(exchange, CallStatus.CANCELLED)

    def fail(self, exchange: Exchange) -> None:
        """End an exchange after an unexpected error.

        The request may have been executed if a connection carries the exchange.
        """
        is_sent = exchange.connection is not None
        self._abandon(exchange, CallStatus.CANCELLED if is_sent else CallStatus.NOT_SENT)

    def complete(self, exchange: Exchange, status: CallStatus) -> None:
        """End an exchange with ``status``; do nothing if it has ended already."""
        if exchange.completed:
            return
        self._stats.record(status)
        exchange.complete(status, self._clock())

    def record_request_written(self, exchange: Exchange) -> None:
        """Mark the request as written; the elapsed time of an exchange with an upload counts from here."""
        exchange.record_request_written()
        if exchange.on_written is not None:
            exchange.on_written()
        if exchange.upload is not None:
            exchange.reset_start_time(self._clock())
        if not exchange.is_health_check:
            self._metrics.record_attempt()

    def log_and_reset(self) -> None:
        """Log how exchanges have ended since the last call."""
        self._stats.log_and_reset()

    def expire(self, exchange: Exchange) -> None:
        """End an expired exchange.

        Only the first bytes of a long response have to arrive in time: if its head has, the exchange succeeds
        and the response is streamed. Otherwise the exchange ends with an error if a part of the head has
        arrived, as a timeout if the endpoint may be executing the request, and as not sent if it cannot be.
        """
        connection = exchange.connection
        if exchange.completed or (connection is not None and connection.stream_expired_response()):
            return
        if not exchange.may_be_executing():
            self._abandon(exchange, CallStatus.NOT_SENT)
        elif connection is not None and connection.has_partial_head:
            self._abandon(exchange, CallStatus.ERROR)
        else:
            self._abandon(exchange, CallStatus.TIMEOUT)

    def _abandon(self, exchange: Exchange, status: CallStatus) -> None:
        if exchange.completed:
            return
        if exchange.connection is not None:
            exchange.connection.abandon_exchange()
        self.complete(exchange, status)
