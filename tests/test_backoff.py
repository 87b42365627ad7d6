"""Back-off: how the calls of a fleet spread, and by when each of them comes."""

from __future__ import annotations

from random import Random

import pytest

from quota_gateway.net import backoff, endpoint_watch
from quota_gateway.settings import timing_from


def test_calls_of_a_fleet_that_lost_discovery_together_do_not_come_in_step() -> None:
    """Forty limiters call in the same moment and then in vain. All have to call within what is left of the
    6 s after a return, so that the mean of a second is the least that can be: no second gets twice that."""
    rngs = [Random(seed) for seed in range(40)]
    first = [backoff.pause(40, 0, rng.random()) for rng in rngs]
    assert max(sum(at <= wait < at + 1 for wait in first) for at in range(3)) <= 24 and max(first) < 3.0
    at = list(first)
    for failed in range(1, 6):
        at = [now + backoff.pause(40, failed, rng.random()) for now, rng in zip(at, rngs, strict=True)]
    begin = max(at) - backoff.CALL_AGAIN / 2
    calls = [now for rng, each in zip(rngs, at, strict=True) for now in later_calls(each, rng, 12)]
    seconds = [sum(begin + n <= call < begin + n + 1 for call in calls) for n in range(20)]
    assert max(seconds) <= 2 * 40 / backoff.CALL_AGAIN, f"they call in step: {seconds}"
    assert backoff.pause(3, 0, 0.99) <= 0.25 and backoff.pause(3, 9, 0.99) <= 1.0


def later_calls(at: float, rng: Random, count: int) -> list[float]:
    calls = [at]
    for _ in range(count):
        calls.append(calls[-1] + backoff.pause(40, 9, rng.random()))
    return calls


@pytest.mark.parametrize("callers", [1, 3, 40, 200, 420, 2000])
def test_no_two_calls_begin_further_apart_than_leaves_time_for_an_answer_in_six_seconds(callers: int) -> None:
    """Whatever is allowed after a failed, refused or given-up call, news counts 6 s after a return."""
    waits = timing_from({"discovery": "ask", "n_instances": callers})
    for failed in range(1, 40):
        for spent in (0.0, 0.5, waits.answer, waits.call_again, 30.0):
            apart = spent + backoff.pause(callers, failed, 1.0, waits.call_again, spent)
            assert apart <= max(4.5, spent), "a return just after a call is found too late"
    assert waits.answer <= waits.call_again <= 4.5 and waits.call_again == backoff.CALL_AGAIN


def test_calls_are_spread_by_the_number_of_limiters_only_where_discovery_is_asked() -> None:
    raw = {"n_instances": 40, "discovery": "ask"}
    assert timing_from(raw).callers == 40
    assert timing_from(raw | {"discovery": "push"}).callers == timing_from({}).callers == 1


def test_the_first_call_of_a_fleet_of_any_size_leaves_time_before_news_counts_as_told() -> None:
    """Told 6 s after a silence began and 4 s after a move; the answer comes in the rest."""
    for callers in (1, 40, 200, 1000):
        assert endpoint_watch.SILENCE + backoff.pause(callers, 0, 1.0) < 5.5
        assert backoff.pause(callers, 0, 1.0) < 2.5
        assert backoff.pause(callers, 9, 1.0) <= 4.5
    waits = timing_from({"discovery": "push", "contract": {"stop_sending_within_s": 1.0}})
    assert waits.answer + waits.call_again < 1.0, "what the agent has counts as told, and a drain leaves 1 s"
    assert timing_from({"discovery": "ask"}).answer == 3.0


class Fleet:
    """Hollow limiters that ask one discovery, on a clock of their own: calls begin, end and are told."""

    def __init__(self, callers: int, seed: int) -> None:
        self.rngs = [Random(f"{seed} {n}") for n in range(callers)]
        self.callers = callers
        self.waits = timing_from({"discovery": "ask", "n_instances": callers})

    def told(self, mode: str, down: float, per_second: float) -> list[float]:
        """Seconds from the return until each has the list; one line serves the calls in turn."""
        begins = list[tuple[float, int]]()
        for n, rng in enumerate(self.rngs):
            at, failed = backoff.pause(self.callers, 0, rng.random(), self.waits.call_again), 0
            while at < down:
                # Half-open, what is called before the return is never answered; refused, it ends at once.
                spent = 0.0 if mode == "refused" else self.waits.answer
                failed += 1
                at += spent + backoff.pause(self.callers, failed, rng.random(), self.waits.call_again, spent)
            begins.append((at, n))
        free, told = down, [0.0] * self.callers
        for at, n in sorted(begins):
            free = max(free, at) + 1 / per_second
            told[n] = free - down
        return told


@pytest.mark.parametrize("mode", ["refused", "half-open"])
@pytest.mark.parametrize("down", [1.0, 4.0, 12.0, 60.0])
@pytest.mark.parametrize("callers", [24, 200, 420])
def test_the_list_comes_within_six_seconds_of_the_return_of_discovery(
    mode: str, down: float, callers: int
) -> None:
    """Where discovery bears the calls at all: what it cannot serve in 6 s no spread of calls can mend."""
    told = Fleet(callers, 7).told(mode, down, per_second=max(8.0, callers / 4))
    assert max(told) <= 6.0, f"{sum(t > 6 for t in told)} of {callers} late, the last after {max(told):.1f} s"
