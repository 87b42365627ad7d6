"""Back-off of the clients of the counter and of discovery."""

from __future__ import annotations

# Seconds until the next dial after one in vain, which double up to the most, half of them drawn: all limiters
# lose the counter together, and ten dials a second of each of forty would meet it when it returns.
FIRST_WAIT, MOST_WAIT = 0.1, 0.8
# All limiters lose discovery in the same moment, and it serves their calls in turn. Its line was ever full of
# calls that had waited too long when their turn came, and it answered none. So calls are spread over a time
# that grows with the number of limiters, and twice with each failure. Where it pushes, calls cost nothing.
SPREAD, LEAST_SPREAD, MOST_GROWTH = 0.075, 0.25, 4  # seconds for each caller; least of all; times the first
# However many call, news counts as told 6 s after a silence, and 4 s after a move. So the first call of a row
# is spread over this at most, and each one in vain triples it.
FIRST_SPREAD = 2.0
# And 6 s after discovery had it and could be reached again, whatever became of the calls before: it may
# return just after a call has begun that is lost. So from the begin of one call to that of the next, its wait
# for an answer included, it takes this at most; 1.5 s are left for the answer.
CALL_AGAIN = 4.5
SETTLED, JITTER = 2, 0.25  # calls in vain from which the phases of a fleet differ; share of a wait then drawn


def reconnect_delay(vain: int, draw: float) -> float:
    """Exponential back-off with jitter after so many dials in vain."""
    return (0.5 + 0.5 * draw) * min(MOST_WAIT, FIRST_WAIT * 2.0 ** min(vain - 1, 16))


def pause(callers: int, failed: int, draw: float, most: float = CALL_AGAIN, spent: float = 0.0) -> float:
    """Seconds until the next call after so many in vain, the last of which took ``spent`` seconds.

    Exponential back-off with full jitter, later with a little (at full jitter a fleet calls twice as often,
    and no sooner at the latest). ``most`` bounds the time from call to call.
    """
    growth = 2.0 ** min(failed, 16)
    spread = max(LEAST_SPREAD, SPREAD * callers) * min(MOST_GROWTH, growth)
    spread = min(spread, FIRST_SPREAD * 3.0 ** min(failed, 16), max(0.0, most - spent))
    return spread * (draw if failed < SETTLED else 1 - JITTER * draw)
