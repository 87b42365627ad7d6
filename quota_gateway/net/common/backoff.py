"""Delays before the clients of the counter and of discovery connect or poll again.

All limiters lose a shared service in the same moment and return to it together, so every delay has jitter.
Durations are in seconds. ``draw`` is a random number from 0 to 1: the caller owns the generator.
"""

from __future__ import annotations

MAX_EXPONENT = 16  # keeps the powers finite; every delay has reached its bound long before

# Without back-off, ten attempts a second from each of forty limiters would meet the counter when it returns.
MIN_RECONNECT_DELAY = 0.1
MAX_RECONNECT_DELAY = 0.8
RECONNECT_JITTER = 0.5  # share of a reconnect delay that is drawn

# Discovery answers polls one after the other. Unspread, its queue held only polls that had timed out by their
# turn, and it answered none; so polls spread over a time that grows with the number of limiters.
POLL_SPREAD_PER_CLIENT = 0.075
MIN_POLL_SPREAD = 0.25
MAX_POLL_SPREAD_GROWTH = 4.0  # times the spread of the first poll
# An update must be known 6 s after discovery falls silent and 4 s after it moves, however many clients poll.
# So the first poll is spread over this at most, and each failure multiplies that.
MAX_FIRST_POLL_SPREAD = 2.0
FIRST_POLL_SPREAD_GROWTH = 3.0
# An update must be known 6 s after discovery returns, which may be just after a poll began that is lost.
# So this is the most from the start of one poll to that of the next; 1.5 s are left for the answer.
MAX_POLL_INTERVAL = 4.5
SPREAD_OUT_FAILURES = 2  # consecutive failures from which the phases of a fleet differ
SPREAD_OUT_JITTER = 0.25  # share of a poll delay that is drawn from then on


def reconnect_delay(consecutive_failures: int, draw: float) -> float:
    """Seconds until the next attempt to connect to the counter: exponential back-off with partial jitter."""
    exponent = min(consecutive_failures - 1, MAX_EXPONENT)
    delay = min(MAX_RECONNECT_DELAY, MIN_RECONNECT_DELAY * 2.0**exponent)
    return (1 - RECONNECT_JITTER + RECONNECT_JITTER * draw) * delay


def poll_delay(
    client_count: int,
    consecutive_failures: int,
    draw: float,
    max_interval: float = MAX_POLL_INTERVAL,
    elapsed: float = 0.0,
) -> float:
    """Seconds until the next poll of discovery, ``elapsed`` seconds after the last one was known to be alive.

    Exponential back-off with full jitter, and with partial jitter once the polls of a fleet are spread out:
    full jitter would poll twice as often then, and no sooner at the latest. ``max_interval`` bounds the time
    from the start of one poll to that of the next.
    """
    exponent = min(consecutive_failures, MAX_EXPONENT)
    first_spread = max(MIN_POLL_SPREAD, POLL_SPREAD_PER_CLIENT * client_count)
    spread = min(
        first_spread * min(MAX_POLL_SPREAD_GROWTH, 2.0**exponent),
        MAX_FIRST_POLL_SPREAD * FIRST_POLL_SPREAD_GROWTH**exponent,
        max(0.0, max_interval - elapsed),
    )
    if consecutive_failures < SPREAD_OUT_FAILURES:
        return spread * draw
    return spread * (1 - SPREAD_OUT_JITTER * draw)
