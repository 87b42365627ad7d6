"""Timing of the polls of discovery."""

from __future__ import annotations

import math
from dataclasses import dataclass

from quota_gateway.net.common.backoff import MAX_POLL_INTERVAL_SECONDS

# A watch that receives no complete line for this time has failed, whatever the state of its socket. Discovery
# sends an empty line as a heartbeat every 2 s. The limiter must be notified of an update within 6 s of the
# last line; this time includes the next request.
SILENCE_TIMEOUT_SECONDS = 3.0
# A starting process waits for its first event from discovery for the time of this number of polls, but not
# longer than the time limit: it must be ready within 6 s.
FIRST_EVENT_POLLS = 2
MAX_FIRST_EVENT_TIMEOUT_SECONDS = 3.0
# Failed polls confirm the list once per poll interval. For a local agent that is 0.6 times the drain notice.
MAX_UNCONFIRMED_POLLS = 1.25


@dataclass(frozen=True, slots=True)
class PollTiming:
    """When discovery is polled, and how long a poll waits for its response. Times are in seconds."""

    client_count: int = 1  # the number of limiters that poll the same discovery
    response_timeout: float = SILENCE_TIMEOUT_SECONDS  # the time from the start of a request to its response
    max_interval: float = MAX_POLL_INTERVAL_SECONDS  # the time between the starts of two requests
    # Whether discovery pushes: its agent on this machine serves only this limiter, and responds at once.
    is_local_agent: bool = False

    @property
    def max_unconfirmed_seconds(self) -> float:
        """The longest time without a confirmation of the list, in seconds, unless the process is stalled.

        The drain notice of a local agent is longer. A polled discovery is not polled ahead of time.
        """
        return MAX_UNCONFIRMED_POLLS * self.max_interval if self.is_local_agent else math.inf

    @property
    def first_event_timeout(self) -> float:
        """The longest time that a starting process waits for its first event from discovery, in seconds."""
        return min(FIRST_EVENT_POLLS * self.max_interval, MAX_FIRST_EVENT_TIMEOUT_SECONDS)


DEFAULT_POLL_TIMING = PollTiming()
