"""Back-off: how the attempts of a fleet spread, and by when each of them comes."""

from __future__ import annotations

from random import Random

import pytest

from quota_gateway.net.common.backoff import MAX_POLL_INTERVAL, poll_delay, reconnect_delay
from quota_gateway.net.discovery import watcher as endpoint_watch
from quota_gateway.settings_parser import parse_timing


def test_reconnects_are_spread_and_grow_rarer() -> None:
    assert [reconnect_delay(failures, 1.0) for failures in (1, 2, 3, 4, 5, 5000)] == [
        0.1, 0.2, 0.4, 0.8, 0.8, 0.8,
    ]  # fmt: skip
    delays = sorted(reconnect_delay(4, Random(seed).random()) for seed in range(40))
    max_per_tenth = max(
        sum(start <= delay < start + 0.1 for delay in delays) for start in (0.4, 0.5, 0.6, 0.7)
    )
    assert max_per_tenth < 20


def test_polls_of_a_fleet_that_lost_discovery_together_do_not_stay_in_phase() -> None:
    """Forty limiters poll in the same moment and fail. All have to poll within what is left of the 6 s after
    a return, so that the mean of a second is the least that can be: no second gets twice that."""
    rngs = [Random(seed) for seed in range(40)]
    first_polls = [poll_delay(40, 0, rng.random()) for rng in rngs]
    max_per_second = max(
        sum(start <= polled_at < start + 1 for polled_at in first_polls) for start in range(3)
    )
    assert max_per_second <= 24 and max(first_polls) < 3.0
    polls = list(first_polls)
    for failures in range(1, 6):
        polls = [
            polled_at + poll_delay(40, failures, rng.random())
            for polled_at, rng in zip(polls, rngs, strict=True)
        ]
    begin = max(polls) - MAX_POLL_INTERVAL / 2
    all_polls = [
        polled_at for rng, first in zip(rngs, polls, strict=True) for polled_at in later_polls(first, rng, 12)
    ]
    polls_by_second = [
        sum(begin + second <= polled_at < begin + second + 1 for polled_at in all_polls)
        for second in range(20)
    ]
    assert max(polls_by_second) <= 2 * 40 / MAX_POLL_INTERVAL, f"they poll in phase: {polls_by_second}"
    assert poll_delay(3, 0, 0.99) <= 0.25 and poll_delay(3, 9, 0.99) <= 1.0


def later_polls(first: float, rng: Random, count: int) -> list[float]:
    """The times of a limiter's polls after many failures."""
    polls = [first]
    for _ in range(count):
        polls.append(polls[-1] + poll_delay(40, 9, rng.random()))
    return polls


@pytest.mark.parametrize("client_count", [1, 3, 40, 200, 420, 2000])
def test_polls_are_close_enough_to_leave_time_for_an_answer_in_six_seconds(client_count: int) -> None:
    """Whatever is allowed after a failed poll, an update must be known 6 s after a return."""
    timing = parse_timing({"discovery": "ask", "n_instances": client_count})
    for failures in range(1, 40):
        for elapsed in (0.0, 0.5, timing.answer_timeout, timing.max_poll_interval, 30.0):
            interval = elapsed + poll_delay(
                client_count, failures, 1.0, max_interval=timing.max_poll_interval, elapsed=elapsed
            )
            assert interval <= max(4.5, elapsed), "a return just after a poll is found too late"
    assert (
        timing.answer_timeout <= timing.max_poll_interval <= 4.5
        and timing.max_poll_interval == MAX_POLL_INTERVAL
    )


def test_polls_are_spread_by_the_number_of_limiters_only_where_discovery_is_polled() -> None:
    raw = {"n_instances": 40, "discovery": "ask"}
    assert parse_timing(raw).client_count == 40
    assert parse_timing(raw | {"discovery": "push"}).client_count == parse_timing({}).client_count == 1


def test_first_poll_of_a_fleet_of_any_size_leaves_time_for_an_answer() -> None:
    """An update must be known 6 s after a silence began and 4 s after a move."""
    for client_count in (1, 40, 200, 1000):
        assert endpoint_watch.SILENCE_TIMEOUT + poll_delay(client_count, 0, 1.0) < 5.5
        assert poll_delay(client_count, 0, 1.0) < 2.5
        assert poll_delay(client_count, 9, 1.0) <= 4.5
    timing = parse_timing({"discovery": "push", "contract": {"stop_sending_within_s": 1.0}})
    assert timing.answer_timeout + timing.max_poll_interval < 1.0, (
        "a drain leaves 1 s from when the agent knows of it"
    )
    assert parse_timing({"discovery": "ask"}).answer_timeout == 3.0


class SimulatedFleet:
    """Limiters that poll one discovery, on a virtual clock: when they poll and when they are answered."""

    def __init__(self, client_count: int, seed: int) -> None:
        self.client_count = client_count
        self.rngs = [Random(f"{seed} {number}") for number in range(client_count)]
        self.timing = parse_timing({"discovery": "ask", "n_instances": client_count})

    def answer_delays(self, mode: str, outage: float, answers_per_second: float) -> list[float]:
        """Seconds from the return until each has the list, with one queue for the polls.

        ``outage`` is the time in seconds from the loss of discovery until its return.
        """
        polls = [self._first_poll_after(outage, mode, rng) for rng in self.rngs]
        served_at = outage
        delays = list[float]()
        for polled_at in sorted(polls):
            served_at = max(served_at, polled_at) + 1 / answers_per_second
            delays.append(served_at - outage)
        return delays

    def _first_poll_after(self, outage: float, mode: str, rng: Random) -> float:
        max_interval = self.timing.max_poll_interval
        # A poll of a half-open discovery before its return is never answered; a refused one ends at once.
        elapsed = 0.0 if mode == "refused" else self.timing.answer_timeout
        polled_at = poll_delay(self.client_count, 0, rng.random(), max_interval=max_interval)
        failures = 0
        while polled_at < outage:
            failures += 1
            polled_at += elapsed + poll_delay(
                self.client_count, failures, rng.random(), max_interval=max_interval, elapsed=elapsed
            )
        return polled_at


@pytest.mark.parametrize("mode", ["refused", "half-open"])
@pytest.mark.parametrize("outage", [1.0, 4.0, 12.0, 60.0])
@pytest.mark.parametrize("client_count", [24, 200, 420])
def test_list_comes_within_six_seconds_of_the_return_of_discovery(
    mode: str, outage: float, client_count: int
) -> None:
    """If discovery can serve the polls at all in 6 s; otherwise no spread of polls would help."""
    fleet = SimulatedFleet(client_count, 7)
    delays = fleet.answer_delays(mode, outage, answers_per_second=max(8.0, client_count / 4))
    late = sum(delay > 6 for delay in delays)
    assert max(delays) <= 6.0, f"{late} of {client_count} late, the last after {max(delays):.1f} s"
