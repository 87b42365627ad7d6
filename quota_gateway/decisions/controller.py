"""The load controller: a PI loop with anti-windup sets the admit rate u = K e + integral once a second.

The error e is the reference load minus the measured load. See "Overload Control and Performance Modeling of
Web Servers".
"""

from dataclasses import dataclass, field

from quota_gateway.arithmetic import moving_average
from quota_gateway.decisions.context import REFERENCE_LATENCY_FRACTION

REFERENCE_LOAD = 0.8
GAIN = 20.0  # K, requests per second for each unit of load
RESET_TIME_SECONDS = 2.8  # Ti
INTERVAL_SECONDS = 1.0  # time between two updates of the admit rate
STALL_SECONDS = 2.5 * INTERVAL_SECONDS  # a longer time between two updates means that this process stalled
FULL_LOAD = 1.0  # load reading for an endpoint that is overloaded or does not respond in time
LOW_LOAD = 0.5 * REFERENCE_LOAD  # below this load, the endpoints can certainly serve more requests
ARRIVALS_WEIGHT = 0.3  # weight of the latest interval in the moving average of arrivals
MIN_READINGS = 3  # number of load readings that an update of the admit rate requires
# After this many intervals without an update, a single reading is enough: at less than one request per
# second, MIN_READINGS could take longer.
MAX_READING_AGE_INTERVALS = 4


def overdue_latency(objective: float) -> float:
    """Return the latency from which on a response counts as full load, in seconds."""
    return objective * REFERENCE_LATENCY_FRACTION / REFERENCE_LOAD


@dataclass(slots=True, eq=False)
class LoadController:
    """PI control of the admit rate, in requests per second. Only the methods of this class change its fields.

    While ``integral`` is None, at the start and after a stall, all requests are admitted.
    """

    updated_at: float
    integral: float | None = None
    admit_rate: float = 0.0
    load: float = 0.0  # the last measurement: 0 idle, 0.8 the reference, 1 overloaded
    readings: list[float] = field(default_factory=list)  # load readings since the last use or discard
    readings_age: int = 0  # intervals since the readings were last used or discarded
    arrival_rate: float = 0.0  # moving average, in requests per second, without clients' retries
    arrivals: int = 0  # requests in this interval, without clients' retries
    admitted: int = 0  # requests admitted and forwarded in this interval

    def record_arrival(self) -> None:
        """Count a request that is not a client's retry."""
        self.arrivals += 1

    def record_admission(self) -> None:
        """Count a request that was admitted and forwarded."""
        self.admitted += 1

    def record_latency(self, latency: float, objective: float) -> None:
        """Record the latency of a successful response as a load reading."""
        self.readings.append(
            min(FULL_LOAD, latency / objective * REFERENCE_LOAD / REFERENCE_LATENCY_FRACTION)
        )

    def record_overload(self) -> None:
        """Record an overloaded endpoint, or an overdue response, as a load reading."""
        self.readings.append(FULL_LOAD)

    def update(self, now: float, elapsed: float) -> None:
        """Update the admit rate at the end of an interval, if there are enough load readings."""
        self.updated_at = now
        arrivals = self.arrivals / elapsed
        admitted = self.admitted / elapsed
        self.arrivals = self.admitted = 0
        self.arrival_rate = moving_average(self.arrival_rate, arrivals, ARRIVALS_WEIGHT)
        self.readings_age += 1
        is_old = self.readings_age >= MAX_READING_AGE_INTERVALS and bool(self.readings)
        has_measurement = len(self.readings) >= MIN_READINGS or is_old
        was_stalled = elapsed > STALL_SECONDS
        if was_stalled:
            self.integral = None  # the load has most likely changed during the stall
        elif has_measurement:
            self._update_admit_rate(max(arrivals, self.arrival_rate), admitted)
        if has_measurement or was_stalled:
            self.readings = []
            self.readings_age = 0

    def _update_admit_rate(self, arrivals: float, admitted: float) -> None:
        # GAIN suits arrival rates of at least its size. If hundreds of sparse gateways used it, the sum of
        # their admit rates would oscillate.
        gain = min(GAIN, self.arrival_rate)
        self.load = sum(self.readings) / len(self.readings)
        error = REFERENCE_LOAD - self.load
        self.admit_rate = gain * error + (admitted if self.integral is None else self.integral)
        self.integral = self.admit_rate - gain * error
        if self.load < LOW_LOAD and self.admit_rate < arrivals:
            self.integral = arrivals - gain * error
            self.admit_rate = arrivals
        # Anti-windup: the integral does not grow while the admit rate exceeds the arrivals.
        if error < 0 or self.admit_rate <= arrivals:
            self.integral = max(0.0, self.integral + gain / RESET_TIME_SECONDS * error)
