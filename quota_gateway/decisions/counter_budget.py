"""The rate of this gateway's calls to the shared counter, and outages of the counter.

The rate is controlled by additive increase and multiplicative decrease (AIMD): it grows with each quick
reply, and shrinks when replies are delayed by a queue at the counter or calls are lost.
"""

from quota_gateway.model import COUNTER_REPLIES, CallStatus

MAX_CALLS_PER_SECOND = 300.0  # limit of one gateway, and initial limit of all gateways together
MIN_RATE_PERCENT = 2  # of the even share of the initial limit
# The two increases are small, since a gateway observes the counter's queue only a few times a second.
MAX_INCREASE_PER_SECOND = 5.0  # calls per second by which the rate grows within a second
MAX_INCREASE_FRACTION = 0.01  # of the rate, by which it grows with one reply
QUEUED_REPLY_FACTOR = 0.95  # on the rate after a reply that waited in a queue
LOST_CALL_FACTOR = 0.9  # on the rate after a call that was lost or rejected
QUEUEING_FRACTION = 0.25  # of the timeout: a reply with a higher excess latency waited in a queue
SAVED_SECONDS = 0.2  # of the rate that may be saved for a burst
SAVED_CALLS = 2  # that may be saved in addition
SLOWER_WEIGHT = 0.02  # weight in the typical latency of a reply that took longer
FASTER_WEIGHT = 0.5  # weight in the typical latency of a reply that did not
OUTAGE_STEP_SECONDS = 0.5  # assumed length of an outage per failure in succession
MAX_OUTAGE_SECONDS = 2.0  # largest assumed length, before the random factor
MIN_OUTAGE_FACTOR = 0.5  # least random factor on the assumed length; the largest is 1 more


class CounterBudget:
    """A token bucket of counter calls; it is empty while the counter is considered unavailable."""

    def __init__(self, now: float, gateways: int, draw: float, timeout: float = 0.0) -> None:
        """Start at an even share of the initial limit.

        ``draw``, a random number from 0 to 1, spreads the first calls of gateways that start together.
        """
        self.rate = MAX_CALLS_PER_SECOND / gateways  # calls per second
        self.min_rate = MIN_RATE_PERCENT * MAX_CALLS_PER_SECOND / gateways / 100
        self.tokens = SAVED_SECONDS * self.rate + draw  # calls
        self.refilled_at = now  # Unix time; in the future during an outage
        self.typical_latency = 0.0  # seconds without a queue; 0: no reply yet
        self.queueing_threshold = QUEUEING_FRACTION * timeout if timeout > 0 else float("inf")  # seconds
        self.last_congestion = now  # Unix time of the last sign of congestion
        self.failures = 0  # calls in succession that the counter did not answer
        self.unavailable_until = 0.0  # Unix time

    def refill(self, now: float) -> None:
        """Refill the bucket up to ``now`` at the current rate."""
        gained = self.rate * max(0.0, now - self.refilled_at)
        self.tokens = min(SAVED_CALLS + SAVED_SECONDS * self.rate, self.tokens + gained)
        self.refilled_at = max(self.refilled_at, now)

    def available(self, now: float) -> float:
        """Refill the bucket, and return the calls that may be made at ``now``."""
        self.refill(now)
        return self.tokens if now >= self.unavailable_until else 0.0

    def spend(self) -> None:
        """Take one call from the bucket, which may go into debt."""
        self.tokens -= 1

    def call_ended(self, now: float, status: CallStatus, made_at: float, draw: float = 0.5) -> None:
        """Adapt rate and availability to the result of a call that was made at ``made_at``.

        ``draw``, a random number from 0 to 1, spreads the next calls of gateways that notice an outage at the
        same time.
        """
        latency = now - made_at
        if status is CallStatus.OK:
            self._record_latency(latency)
            self.failures = 0
        if status is CallStatus.OK and latency <= self.typical_latency + self.queueing_threshold:
            self._increase_rate()
        else:
            self._record_congestion(now, status, made_at)
        if status not in COUNTER_REPLIES and self.failures > 1:
            self._begin_outage(now, draw)

    def _record_latency(self, latency: float) -> None:
        weight = SLOWER_WEIGHT if latency > self.typical_latency > 0 else FASTER_WEIGHT
        self.typical_latency += (latency - self.typical_latency) * weight

    def _increase_rate(self) -> None:
        increase = min(MAX_INCREASE_FRACTION * self.rate, MAX_INCREASE_PER_SECOND / self.rate)
        self.rate = min(MAX_CALLS_PER_SECOND, self.rate + increase)

    def _record_congestion(self, now: float, status: CallStatus, made_at: float) -> None:
        """Decrease the rate, once for all calls that were pending at the same time."""
        is_new = made_at >= self.last_congestion
        self.last_congestion = now
        if is_new and status is not CallStatus.MALFORMED:
            self.failures += status not in COUNTER_REPLIES
            self.rate = max(self.min_rate, self._decrease_factor(status) * self.rate)

    @staticmethod
    def _decrease_factor(status: CallStatus) -> float:
        if status is CallStatus.OK:
            return QUEUED_REPLY_FACTOR
        if status is CallStatus.RESET_AFTER_REQUEST:  # no sign of the counter's load
            return 1.0
        return LOST_CALL_FACTOR

    def _begin_outage(self, now: float, draw: float) -> None:
        """Consider the counter unavailable, for longer after each failure, with one call at the end."""
        length = min(MAX_OUTAGE_SECONDS, OUTAGE_STEP_SECONDS * self.failures)
        self.unavailable_until = now + (MIN_OUTAGE_FACTOR + draw) * length
        self.refilled_at = self.unavailable_until
        self.tokens = min(1.0, self.tokens)
