"""Delays before the clients of the counter and of discovery connect or poll again.

All limiters lose a shared service at the same time and return to it together, so every delay has jitter.
Durations are in seconds. ``draw`` is a random number from 0 to 1 that the caller draws.
"""

from __future__ import annotations

MAX_EXPONENT = 16  # prevents an overflow; every delay reaches its limit at a lower exponent

# Without backoff each limiter would try to connect ten times a second when the counter returns.
MIN_RECONNECT_DELAY_SECONDS = 0.1
MAX_RECONNECT_DELAY_SECONDS = 0.8
RECONNECT_JITTER_FRACTION = 0.5  # the random part of a reconnect delay

# Discovery responds to polls one by one. If all limiters polled at once, polls would time out before their
# responses, so the polls are spread over a time that grows with the number of limiters.
POLL_SPREAD_PER_CLIENT_SECONDS = 0.075
MIN_POLL_SPREAD_SECONDS = 0.25
MAX_POLL_SPREAD_FACTOR = 4.0  # backoff multiplies the spread of the first poll by at most this factor
# A limiter must be notified of an update within 6 s after discovery becomes unresponsive and within 4 s after
# discovery's address changes, for any number of limiters. This limits the spread of the first poll. Each
# failure multiplies the limit by FIRST_POLL_SPREAD_FACTOR.
MAX_FIRST_POLL_SPREAD_SECONDS = 2.0
FIRST_POLL_SPREAD_FACTOR = 3.0
# A limiter must be notified of an update within 6 s after discovery returns, even if its last poll started
# just before the return and is lost. With this maximum time between the starts of two polls, 1.5 s of the
# 6 s remain for the response.
MAX_POLL_INTERVAL_SECONDS = 4.5
SPREAD_OUT_FAILURES = 2  # after this number of consecutive failures the polls of a fleet are out of phase
SPREAD_OUT_JITTER_FRACTION = 0.25  # the random part of a poll delay after these failures


def reconnect_delay(consecutive_failures: int, draw: float) -> float:
    """Return the seconds until the next connect to the counter.

    The delay is an exponential backoff with partial jitter.
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

    The delay is an exponential backoff with full jitter. Once the polls of a fleet are out of phase, the
    jitter is partial: full jitter would double the rate of polls, and the latest poll would be no earlier.
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
