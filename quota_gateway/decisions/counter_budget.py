"""The rate of this gateway's calls to the shared counter, and outages of the counter.

The rate is controlled by additive increase and multiplicative decrease (AIMD): it grows with each quick
reply, and shrinks when replies are delayed by a queue at the counter or calls are lost.
"""

from quota_gateway.model import COUNTER_REPLIES, CallStatus

MAX_CALLS_PER_SECOND = 300.0  # limit of one gateway; also the initial limit of all gateways together
MIN_RATE_PERCENT = 2  # lowest rate of a gateway, in percent of its even share of the initial limit
# Both limits on the increase are low, since a gateway observes the counter's queue only a few times a second.
MAX_INCREASE_PER_SECOND = 5.0  # largest increase of the rate within a second, in calls per second
MAX_INCREASE_FRACTION = 0.01  # largest increase of the rate after one reply, as a fraction of the rate
QUEUED_REPLY_FACTOR = 0.95  # multiplies the rate after a reply that waited in a queue
LOST_CALL_FACTOR = 0.9  # multiplies the rate after a call that was lost or rejected
# A reply has waited in a queue if it exceeds the typical latency by more than this fraction of the timeout.
QUEUEING_FRACTION = 0.25
# A full bucket holds the calls that it gains in BUCKET_DEPTH_SECONDS, and EXTRA_DEPTH_CALLS on top.
BUCKET_DEPTH_SECONDS = 0.2
EXTRA_DEPTH_CALLS = 2
# Weights of one reply in the typical latency, which is a moving average.
SLOWER_REPLY_WEIGHT = 0.02  # for a reply slower than the typical latency
FASTER_REPLY_WEIGHT = 0.5  # for any other reply
OUTAGE_STEP_SECONDS = 0.5  # assumed length of an outage per consecutive failure
MAX_OUTAGE_SECONDS = 2.0  # longest assumed length of an outage, before the random factor
MIN_OUTAGE_FACTOR = 0.5  # least random factor on the assumed length; the largest one is 1 more


class CounterBudget:
    """A token bucket of counter calls; allows none while the counter is considered unavailable."""

    def __init__(self, now: float, gateways: int, draw: float, timeout: float = 0.0) -> None:
        """Start at an even share of the initial limit.

        ``draw``, a random number from 0 to 1, spreads the first calls of gateways that start together.
        """
        self.rate = MAX_CALLS_PER_SECOND / gateways  # calls per second
        self.min_rate = MIN_RATE_PERCENT * MAX_CALLS_PER_SECOND / gateways / 100
        self.tokens = BUCKET_DEPTH_SECONDS * self.rate + draw  # calls
        self.refilled_at = now  # Unix time; in the future during an outage
        self.typical_latency = 0.0  # seconds, for a reply without a queue; 0 before the first reply
        self.queueing_threshold = QUEUEING_FRACTION * timeout if timeout > 0 else float("inf")  # seconds
        self.last_congestion_at = now  # Unix time of the last sign of congestion
        # Calls without a reply, or with the reply ``error``, since the last successful one. Calls that were
        # pending together count once.
        self.consecutive_failures = 0
        self.unavailable_until = 0.0  # Unix time

    def refill(self, now: float) -> None:
        """Refill the bucket up to ``now`` at the current rate."""
        gained = self.rate * max(0.0, now - self.refilled_at)
        self.tokens = min(EXTRA_DEPTH_CALLS + BUCKET_DEPTH_SECONDS * self.rate, self.tokens + gained)
        self.refilled_at = max(self.refilled_at, now)

    def available(self, now: float) -> float:
        """Refill the bucket, and return the calls that may be made at ``now``."""
        self.refill(now)
        return self.tokens if now >= self.unavailable_until else 0.0

    def spend(self) -> None:
        """Take one call from the bucket, which may become negative."""
        self.tokens -= 1

    def record_result(self, now: float, status: CallStatus, made_at: float, draw: float = 0.5) -> None:
        """Adapt rate and availability to the result of a call that was made at ``made_at``.

        ``draw``, a random number from 0 to 1, spreads the next calls of gateways that notice an outage at the
        same time.
        """
        latency = now - made_at
        if status is CallStatus.OK:
            self._record_latency(latency)
            self.consecutive_failures = 0
        if status is CallStatus.OK and latency <= self.typical_latency + self.queueing_threshold:
            self._increase_rate()
        else:
            self._record_congestion(now, status, made_at)
        if status not in COUNTER_REPLIES and self.consecutive_failures > 1:
            self._begin_outage(now, draw)

    def _record_latency(self, latency: float) -> None:
        weight = SLOWER_REPLY_WEIGHT if latency > self.typical_latency > 0 else FASTER_REPLY_WEIGHT
        self.typical_latency += (latency - self.typical_latency) * weight

    def _increase_rate(self) -> None:
        increase = min(MAX_INCREASE_FRACTION * self.rate, MAX_INCREASE_PER_SECOND / self.rate)
        self.rate = min(MAX_CALLS_PER_SECOND, self.rate + increase)

    def _record_congestion(self, now: float, status: CallStatus, made_at: float) -> None:
        """Decrease the rate, once for all calls that were pending at the same time."""
        is_new = made_at >= self.last_congestion_at
        self.last_congestion_at = now
        if is_new and status is not CallStatus.MALFORMED:
            self.consecutive_failures += status not in COUNTER_REPLIES
            self.rate = max(self.min_rate, self._decrease_factor(status) * self.rate)

    @staticmethod
    def _decrease_factor(status: CallStatus) -> float:
        if status is CallStatus.OK:
            return QUEUED_REPLY_FACTOR
        if status is CallStatus.RESET_AFTER_REQUEST:  # no sign of the counter's load
            return 1.0
        return LOST_CALL_FACTOR

    def _begin_outage(self, now: float, draw: float) -> None:
        """Consider the counter unavailable, for longer after each failure, and allow one call afterwards."""
        length = min(MAX_OUTAGE_SECONDS, OUTAGE_STEP_SECONDS * self.consecutive_failures)
        self.unavailable_until = now + (MIN_OUTAGE_FACTOR + draw) * length
        self.refilled_at = self.unavailable_until
        self.tokens = min(1.0, self.tokens)
