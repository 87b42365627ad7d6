"""Delays before the clients of the counter and of discovery connect or poll again.

All limiters lose a shared service at the same time and return to it together, so every delay has jitter.
Durations are in seconds. ``draw`` is a random number from 0 to 1 of the caller's generator.
"""

from __future__ import annotations

MAX_EXPONENT = 16  # keeps the powers finite; every delay reaches its limit at a lower exponent

# Without backoff a counter would receive ten attempts a second from each limiter when it returns.
MIN_RECONNECT_DELAY_SECONDS = 0.1
MAX_RECONNECT_DELAY_SECONDS = 0.8
RECONNECT_JITTER_FRACTION = 0.5  # random part of a reconnect delay

# Discovery responds to polls in sequence. If all limiters polled at once, each poll would have timed out
# before its response, so polls are spread over a time that grows with the number of limiters.
POLL_SPREAD_PER_CLIENT_SECONDS = 0.075
MIN_POLL_SPREAD_SECONDS = 0.25
MAX_POLL_SPREAD_FACTOR = 4.0  # of the spread of the first poll
# An update must be known 6 s after discovery becomes unresponsive and 4 s after its address changes, for any
# number of clients. The spread of the first poll is limited accordingly; each failure multiplies the limit.
MAX_FIRST_POLL_SPREAD_SECONDS = 2.0
FIRST_POLL_SPREAD_FACTOR = 3.0
# An update must be known 6 s after discovery returns, even if the last poll started just before its return
# and is lost. 1.5 s of these remain for the response.
MAX_POLL_INTERVAL_SECONDS = 4.5  # from the start of one poll to the start of the next
SPREAD_OUT_FAILURES = 2  # consecutive failures after which the polls of a fleet are out of phase
SPREAD_OUT_JITTER_FRACTION = 0.25  # random part of a poll delay from then on


def reconnect_delay(consecutive_failures: int, draw: float) -> float:
    """Return the seconds until the next attempt to connect to the counter.

    Exponential backoff with partial jitter.
    """
    exponent = min(consecutive_failures - 1, MAX_EXPONENT)
    delay = min(MAX_RECONNECT_DELAY_SECONDS, MIN_RECONNECT_DELAY_SECONDS * 2.0**exponent)
    return (1 - RECONNECT_JITTER_FRACTION + RECONNECT_JITTER_FRACTION * draw) * delay


def poll_delay(
    client_count: int,
    consecutive_failures: int,
    draw: float,
    max_interval: float = MAX_POLL_INTERVAL_SECONDS,
    elapsed: float = 0.0,
) -> float:
    """Return the seconds until the next poll of discovery.

    ``elapsed`` is the time since discovery's last line, or since the start of the last poll. ``max_interval``
    limits the time from the start of one poll to the start of the next.

    Exponential backoff with full jitter, and with partial jitter once the polls of a fleet are out of phase:
    full jitter would then double the rate of polls without an earlier latest poll.
    """
    exponent = min(consecutive_failures, MAX_EXPONENT)
    first_spread = max(MIN_POLL_SPREAD_SECONDS, POLL_SPREAD_PER_CLIENT_SECONDS * client_count)
    spread = min(
        first_spread * min(MAX_POLL_SPREAD_FACTOR, 2.0**exponent),
        MAX_FIRST_POLL_SPREAD_SECONDS * FIRST_POLL_SPREAD_FACTOR**exponent,
        max(0.0, max_interval - elapsed),
    )
    if consecutive_failures < SPREAD_OUT_FAILURES:
        return spread * draw
    return spread * (1 - SPREAD_OUT_JITTER_FRACTION * draw)
