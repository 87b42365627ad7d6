"""Times of the polls of discovery."""

from __future__ import annotations

from dataclasses import dataclass

from quota_gateway.net.common.backoff import MAX_POLL_INTERVAL_SECONDS

# A watch has failed after this time without a complete line, whatever the state of its socket. Discovery
# sends an empty line as a heartbeat every 2 s. An update must be known 6 s after the last line, the next
# request included.
SILENCE_TIMEOUT_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class PollTiming:
    """When discovery is polled, and how long a poll waits for its response. Times are in seconds."""

    client_count: int = 1  # limiters that poll the same discovery
    response_timeout: float = SILENCE_TIMEOUT_SECONDS  # from the start of a request to its response
    max_interval: float = MAX_POLL_INTERVAL_SECONDS  # from the start of one request to that of the next


DEFAULT_POLL_TIMING = PollTiming()
