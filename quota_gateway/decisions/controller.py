"""The load controller: a PI loop with anti-windup sets the admit rate u = K e + integral once a second.

The error e is the reference load minus the measured load. See "Overload Control and Performance Modeling of
Web Servers".
"""

from dataclasses import dataclass, field

from quota_gateway.arithmetic import moving_average
from quota_gateway.decisions.context import LATENCY_FRACTION

REFERENCE_LOAD = 0.8
GAIN = 20.0  # K, requests per second for each unit of load
RESET_TIME_SECONDS = 2.8  # Ti
INTERVAL_SECONDS = 1.0  # between two updates
STALL_SECONDS = 2.5 * INTERVAL_SECONDS  # a longer interval means that this process was stalled
FULL_LOAD = 1.0  # reading for an endpoint that is overloaded or does not respond in time
LOW_LOAD = 0.5 * REFERENCE_LOAD  # the endpoints surely bear more
ARRIVALS_WEIGHT = 0.3  # of the newest interval in the moving average
MIN_READINGS = 3  # for an update of the admit rate
# Older readings are used even if they are fewer: at one request per second they would be too few forever.
MAX_READING_AGE_INTERVALS = 4


def overdue_latency(objective: float) -> float:
    """Return the latency that reads as full load, in seconds."""
    return objective * LATENCY_FRACTION / REFERENCE_LOAD


@dataclass(slots=True, eq=False)
class LoadController:
    """PI control of the admit rate, in requests per second. Only its own methods change its fields.

    While ``integral`` is None, at the start and after a stall, all requests are admitted.
    """

    updated_at: float
    integral: float | None = None
    admit_rate: float = 0.0
    load: float = 0.0  # the last measurement: 0 idle, 0.8 the reference, 1 overloaded
    readings: list[float] = field(default_factory=list)  # not yet used by an update
    readings_age: int = 0  # intervals
    arrival_rate: float = 0.0  # moving average of clients' first attempts
    arrivals: int = 0  # clients' first attempts in this interval
    admitted: int = 0  # in this interval

    def record_arrival(self) -> None:
        """Count a client's first attempt."""
        self.arrivals += 1

    def record_admission(self) -> None:
        """Count a request that was admitted and forwarded."""
        self.admitted += 1

    def record_latency(self, latency: float, objective: float) -> None:
        """Record the latency of a good response as a load reading."""
        self.readings.append(min(FULL_LOAD, latency / objective * REFERENCE_LOAD / LATENCY_FRACTION))

    def record_overload(self) -> None:
        """Record an overloaded endpoint, or an overdue response, as a load reading."""
        self.readings.append(FULL_LOAD)

    def update(self, now: float, elapsed: float) -> None:
        """Set the admit rate from the readings of an interval."""
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
            self.integral = None  # the load has changed in the meantime
        elif has_measurement:
            self._control(max(arrivals, self.arrival_rate), admitted)
        if has_measurement or was_stalled:
            self.readings = []
            self.readings_age = 0

    def _control(self, arrivals: float, admitted: float) -> None:
        # The gain is made for a stream of its size; at hundreds of sparse gateways the sum would oscillate.
        gain = min(GAIN, self.arrival_rate)
        self.load = sum(self.readings) / len(self.readings)
        error = REFERENCE_LOAD - self.load
        self.admit_rate = gain * error + (admitted if self.integral is None else self.integral)
        self.integral = self.admit_rate - gain * error
        if self.load < LOW_LOAD and self.admit_rate < arrivals:
            self.integral = arrivals - gain * error
            self.admit_rate = arrivals
        if error < 0 or self.admit_rate <= arrivals:  # anti-windup
            self.integral = max(0.0, self.integral + gain / RESET_TIME_SECONDS * error)
