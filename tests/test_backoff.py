"""The backoff of polls and reconnects: limiters must not all poll or reconnect at the same moment.

In addition, no poll may be too late to receive an endpoint update in time.
"""

from __future__ import annotations

from random import Random

import pytest

from quota_gateway.net.common.backoff import MAX_POLL_INTERVAL_SECONDS, poll_delay, reconnect_delay
from quota_gateway.net.discovery.poll_timing import SILENCE_TIMEOUT_SECONDS
from quota_gateway.settings_parser import parse_timing


def test_reconnects_are_spread_and_their_delays_grow() -> None:
    assert [reconnect_delay(failures, 1.0) for failures in (1, 2, 3, 4, 5, 5000)] == [
        0.1, 0.2, 0.4, 0.8, 0.8, 0.8,
    ]  # fmt: skip
    delays = sorted(reconnect_delay(4, Random(seed).random()) for seed in range(40))
    max_per_tenth = max(
        sum(start <= delay < start + 0.1 for delay in delays) for start in (0.4, 0.5, 0.6, 0.7)
    )
    assert max_per_tenth < 20


def test_polls_of_a_fleet_do_not_stay_in_phase_when_discovery_is_lost() -> None:
    """Forty limiters lose discovery at the same moment, and all of their polls fail.

    No second may have more than twice the mean number of polls. The mean follows from the maximum interval:
    each limiter must poll soon enough to receive an update within 6 s of discovery's return.
    """
    rngs = [Random(seed) for seed in range(40)]
    first_polls = [poll_delay(40, 0, rng.random()) for rng in rngs]
    max_per_second = max(
        sum(start <= polled_at < start + 1 for polled_at in first_polls) for start in range(3)
    )
    assert max_per_second <= 24
    assert max(first_polls) < 3.0
    polls = list(first_polls)
    for failures in range(1, 6):
        polls = [
            polled_at + poll_delay(40, failures, rng.random())
            for polled_at, rng in zip(polls, rngs, strict=True)
        ]
    begin = max(polls) - MAX_POLL_INTERVAL_SECONDS / 2
    all_polls = [
        polled_at for rng, first in zip(rngs, polls, strict=True) for polled_at in later_polls(first, rng, 12)
    ]
    polls_by_second = [
        sum(begin + second <= polled_at < begin + second + 1 for polled_at in all_polls)
        for second in range(20)
    ]
    assert max(polls_by_second) <= 2 * 40 / MAX_POLL_INTERVAL_SECONDS, (
        f"the limiters poll in phase; polls in each second: {polls_by_second}"
    )
    assert poll_delay(3, 0, 0.99) <= 0.25
    assert poll_delay(3, 9, 0.99) <= 1.0


def later_polls(first: float, rng: Random, count: int) -> list[float]:
    """Return the times of a limiter's polls after many failures."""
    polls = [first]
    for _ in range(count):
        polls.append(polls[-1] + poll_delay(40, 9, rng.random()))
    return polls


@pytest.mark.parametrize("client_count", [1, 3, 40, 200, 420, 2000])
def test_polls_leave_time_for_a_response_within_six_seconds(client_count: int) -> None:
    """A limiter must be notified of an update within 6 s of discovery's return, however long a poll took."""
    timing = parse_timing({"discovery": "ask", "n_instances": client_count})
    for failures in range(1, 40):
        for elapsed in (0.0, 0.5, timing.response_timeout, timing.max_poll_interval, 30.0):
            interval = elapsed + poll_delay(
                client_count, failures, 1.0, max_interval=timing.max_poll_interval, elapsed=elapsed
            )
            assert interval <= max(4.5, elapsed), "too late if discovery returns just after the last poll"
    assert timing.response_timeout <= timing.max_poll_interval <= 4.5
    assert timing.max_poll_interval == MAX_POLL_INTERVAL_SECONDS


def test_number_of_limiters_affects_the_poll_timing_only_if_discovery_is_polled() -> None:
    raw = {"n_instances": 40, "discovery": "ask"}
    assert parse_timing(raw).client_count == 40
    assert parse_timing(raw | {"discovery": "push"}).client_count == parse_timing({}).client_count == 1


def test_first_poll_of_a_fleet_of_any_size_leaves_time_for_a_response() -> None:
    """A limiter must be notified of an update in time when it has to start a new watch.

    The limits are 6 s after discovery becomes unresponsive and 4 s after its address changes.
    """
    for client_count in (1, 40, 200, 1000):
        assert SILENCE_TIMEOUT_SECONDS + poll_delay(client_count, 0, 1.0) < 5.5
        assert poll_delay(client_count, 0, 1.0) < 2.5
        assert poll_delay(client_count, 9, 1.0) <= 4.5
    timing = parse_timing({"discovery": "push", "contract": {"stop_sending_within_s": 1.0}})
    assert timing.response_timeout + timing.max_poll_interval < 1.0, (
        "the limiter must be notified of a drain within 1 s after discovery is"
    )
    assert parse_timing({"discovery": "ask"}).response_timeout == 3.0


class SimulatedFleet:
    """Limiters that poll one discovery, simulated on a virtual clock."""

    def __init__(self, client_count: int, seed: int) -> None:
        self.client_count = client_count
        self.rngs = [Random(f"{seed} {number}") for number in range(client_count)]
        self.timing = parse_timing({"discovery": "ask", "n_instances": client_count})

    def response_delays(self, failure_mode: str, outage: float, responses_per_second: float) -> list[float]:
        """Return the seconds from discovery's return until each limiter receives the list.

        Discovery responds to the polls one by one. ``outage`` is the time in seconds from the loss of
        discovery until its return.
        """
        polls = [self._first_poll_after(outage, failure_mode, rng) for rng in self.rngs]
        served_at = outage
        delays = list[float]()
        for polled_at in sorted(polls):
            served_at = max(served_at, polled_at) + 1 / responses_per_second
            delays.append(served_at - outage)
        return delays

    def _first_poll_after(self, outage: float, failure_mode: str, rng: Random) -> float:
        max_interval = self.timing.max_poll_interval
        # A poll before the return ends at once if it is refused. If discovery is half-open, it accepts
        # the poll and sends no response, so the poll times out.
        elapsed = 0.0 if failure_mode == "refused" else self.timing.response_timeout
        polled_at = poll_delay(self.client_count, 0, rng.random(), max_interval=max_interval)
        failures = 0
        while polled_at < outage:
            failures += 1
            polled_at += elapsed + poll_delay(
                self.client_count, failures, rng.random(), max_interval=max_interval, elapsed=elapsed
            )
        return polled_at


@pytest.mark.parametrize("failure_mode", ["refused", "half-open"])
@pytest.mark.parametrize("outage", [1.0, 4.0, 12.0, 60.0])
@pytest.mark.parametrize("client_count", [24, 200, 420])
def test_list_is_received_within_six_seconds_of_the_return_of_discovery(
    failure_mode: str, outage: float, client_count: int
) -> None:
    """Discovery is fast enough to respond to all polls in 6 s; otherwise no spread of polls would suffice."""
    fleet = SimulatedFleet(client_count, 7)
    delays = fleet.response_delays(failure_mode, outage, responses_per_second=max(8.0, client_count / 4))
    late = sum(delay > 6 for delay in delays)
    assert max(delays) <= 6.0, (
        f"{late} of {client_count} limiters received the list late, the last one after {max(delays):.1f} s"
    )
