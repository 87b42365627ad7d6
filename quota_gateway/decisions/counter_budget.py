"""How many calls the shared counter bears, and whether it answers at all: AIMD on its answers."""

from quota_gateway.model import COUNTER_ANSWERED, CallStatus

MAX_RATE = 300.0  # calls a second: of one gateway at most, and of all together at first
MIN_RATE_PERCENT = 2  # least rate, of the even one
# Who hears of the counter's queue four times a second must not outrun what it hears.
INCREASE = 5.0  # calls a second that one gateway may make more a second later
INCREASE_FRACTION = 0.01  # of its rate, by each answer at most
SLOW_DECREASE = 0.95  # factor on the rate after an answer that waited in a queue
LOSS_DECREASE = 0.9  # factor after a call that was lost or turned down
QUEUED_FRACTION = (
    0.25  # of the time-out above the usual: an answer that takes so much longer waited in a queue
)
SAVED_TIME = 0.2  # seconds of the rate that may be saved up for a burst
BURST = 2  # calls that may be saved up beside
SLOWER_WEIGHT = 0.02  # of an answer slower than usual in the usual time
FASTER_WEIGHT = 0.5  # of a faster one
OUTAGE_STEP = 0.5  # seconds by which an outage is taken to last longer with each call in vain
MAX_OUTAGE = 2.0  # seconds, before the random factor


class CounterBudget:
    """The rate of this gateway's counter calls, and whether the counter counts as unavailable."""

    def __init__(self, now: float, gateways: int, draw: float, timeout: float = 0.0) -> None:
        """Begin at an even part of all calls; ``draw`` is random, so that a fresh fleet calls in turn."""
        self.rate = MAX_RATE / gateways  # calls a second
        self.min_rate = MIN_RATE_PERCENT * MAX_RATE / gateways / 100
        self.tokens = SAVED_TIME * self.rate + draw  # calls that may be made
        self.refilled_at = now
        self.typical_latency = 0.0  # seconds of an answer
        # Seconds above the usual time that tell of a queue.
        self.queueing_threshold = QUEUED_FRACTION * timeout if timeout > 0 else float("inf")
        self.last_congestion = now  # of congestion or loss
        self.failures = 0  # calls in vain, one behind the other
        self.unavailable_until = 0.0

    def available(self, now: float) -> float:
        """Calls that may be made now."""
        gained = self.rate * max(0.0, now - self.refilled_at)  # an outage puts this into the future
        self.tokens = min(BURST + SAVED_TIME * self.rate, self.tokens + gained)
        self.refilled_at = max(self.refilled_at, now)
        return self.tokens if now >= self.unavailable_until else 0.0

    def spend(self) -> None:
        """Take one call from the budget, which may go into debt."""
        self.tokens -= 1

    def call_ended(self, now: float, status: CallStatus, made_at: float, draw: float = 0.5) -> None:
        """Learn from the end of a call that was made at ``made_at``; ``draw`` is random, 0 to 1."""
        # Calls that were out together end together: only the first is a sign. Two failures with no answer in
        # between are an outage; all gateways see it at once, so each draws its length.
        elapsed = now - made_at
        is_ok = status is CallStatus.OK
        if is_ok:
            weight = SLOWER_WEIGHT if elapsed > self.typical_latency > 0 else FASTER_WEIGHT
            self.typical_latency += (elapsed - self.typical_latency) * weight
            self.failures = 0
        is_slow = not is_ok or elapsed > self.typical_latency + self.queueing_threshold
        is_new_sign = made_at >= self.last_congestion
        self.last_congestion = now if is_slow else self.last_congestion
        if not is_slow:
            increase = min(INCREASE_FRACTION * self.rate, INCREASE / self.rate)
            self.rate = min(MAX_RATE, self.rate + increase)
        elif is_new_sign and status is not CallStatus.MALFORMED:
            self.failures += status not in COUNTER_ANSWERED
            is_reset = status is CallStatus.RESET_AFTER_REQUEST  # which says nothing of what it bears
            factor = SLOW_DECREASE if is_ok else 1.0 if is_reset else LOSS_DECREASE
            self.rate = max(self.min_rate, factor * self.rate)
        if status not in COUNTER_ANSWERED and self.failures > 1:
            length = (0.5 + draw) * min(MAX_OUTAGE, OUTAGE_STEP * self.failures)
            self.unavailable_until = now + length
            self.refilled_at = self.unavailable_until
            self.tokens = min(1.0, self.tokens)
