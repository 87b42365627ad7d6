"""The load controller: a PI loop with anti-windup sets the admit rate u = K e + integral once a second.

After "Overload Control and Performance Modeling of Web Servers"; e is the reference minus the measured load.
"""

from dataclasses import dataclass, field

from quota_gateway.arithmetic import moving_average
from quota_gateway.decisions.context import LATENCY_FRACTION

REFERENCE = 0.8  # load that the loop steers to
GAIN = 20.0  # K, requests a second by unit of load
RESET_TIME = 2.8  # Ti, seconds
INTERVAL = 1.0  # seconds between two updates
STALL = 2.5 * INTERVAL  # a longer gap means that this process stood still
FULL_LOAD = 1.0  # reading of an endpoint that is overloaded or does not answer in time
LOW_LOAD = 0.5 * REFERENCE  # below it the endpoints surely bear more
ARRIVALS_WEIGHT = 0.3  # of the newest interval in the mean of the arrivals
ENOUGH_READINGS = 3
MAX_READING_AGE = (
    4  # intervals after which fewer do: where one request comes a second they wait for each other
)


@dataclass(slots=True, eq=False)
class LoadController:
    """PI control of the admit rate, in requests a second."""

    updated_at: float
    integral: float | None = None  # None: fresh, or after a stall; all is admitted until the next reading
    admit_rate: float = 0.0
    load: float = 0.0  # the last reading: 0 idle, 0.8 the reference, 1 overloaded
    readings: list[float] = field(default_factory=list)  # since the last update that used them
    readings_age: int = 0  # intervals
    arrival_rate: float = 0.0  # moving average of clients' first attempts
    arrivals: int = 0  # in this interval
    admitted: int = 0  # in this interval

    def add_latency(self, latency: float, objective: float) -> None:
        """Take the latency of a good answer as a reading of the load."""
        self.readings.append(min(FULL_LOAD, latency / objective * REFERENCE / LATENCY_FRACTION))

    def update(self, now: float, elapsed: float) -> None:
        """Set the admit rate from the readings of an interval."""
        self.updated_at = now
        arrivals = self.arrivals / elapsed
        admitted = self.admitted / elapsed
        self.arrivals = self.admitted = 0
        self.arrival_rate = moving_average(self.arrival_rate, arrivals, ARRIVALS_WEIGHT)
        self.readings_age += 1
        is_stale = self.readings_age >= MAX_READING_AGE and bool(self.readings)
        is_measured = len(self.readings) >= ENOUGH_READINGS or is_stale
        if elapsed > STALL:
            self.integral = None  # it belongs to a load that is gone
        elif is_measured:
            self._control(max(arrivals, self.arrival_rate), admitted)
        if is_measured or elapsed > STALL:
            self.readings = []
            self.readings_age = 0

    def _control(self, arrivals: float, admitted: float) -> None:
        # K is made for a stream of its size: at hundreds of sparse gateways whole ones add up to on and off.
        gain = min(GAIN, self.arrival_rate)
        self.load = sum(self.readings) / len(self.readings)
        error = REFERENCE - self.load
        self.admit_rate = gain * error + (admitted if self.integral is None else self.integral)
        self.integral = self.admit_rate - gain * error
        if self.load < LOW_LOAD and self.admit_rate < arrivals:
            self.integral = arrivals - gain * error
            self.admit_rate = arrivals
        if error < 0 or self.admit_rate <= arrivals:  # anti-windup
            self.integral = max(0.0, self.integral + gain / RESET_TIME * error)
