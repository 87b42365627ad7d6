"""Determines when the input of a client arrived, which may be some time before it is read."""

from __future__ import annotations

from quota_gateway.net.client.liveness import ClientLiveness
from quota_gateway.net.client.shared_state import SharedState
from quota_gateway.net.client.transport import ClientTransport


class ArrivalTimes:
    """The arrival times of one client's input, in seconds of the shared state's clock."""

    __slots__ = ("_liveness", "_shared", "_transport")

    def __init__(self, transport: ClientTransport, liveness: ClientLiveness, shared: SharedState) -> None:
        """Determine the times of a connection; ``liveness`` records when its client was seen."""
        self._transport = transport
        self._liveness = liveness
        self._shared = shared

    def record_read(self) -> float:
        """Return the arrival of the input that was just read, at which the client was connected."""
        # The clock is read first: a stall after that can only make the arrival appear earlier.
        now = self._shared.clock()
        data_age = self._data_age()
        if data_age is None:
            self._liveness.record_seen(self._shared.stalls.input_arrived_after(now))
            return now
        self._liveness.record_seen(now - data_age)
        return now - data_age

    def now(self) -> float:
        """Return the time."""
        return self._shared.clock()

    def last_arrival(self, now: float) -> float:
        """Return the arrival of the last input, read or not; ``now`` if the system does not report it."""
        return now - (self._data_age() or 0.0)

    def _data_age(self) -> float | None:
        """Return the seconds since the last input arrived; None if the system does not report them."""
        return self._transport.seconds_since_last_data() if self._shared.reports_data_age else None
