"""The budget of counter calls."""

from __future__ import annotations

from random import Random

from quota_gateway import model
from quota_gateway.decisions.counter_budget import CounterBudget
from tests import world as w

FLEET = 40


def test_counter_calls_grow_while_answers_are_quick_and_shrink_before_any_is_lost() -> None:
    calls, at = CounterBudget(100.0, FLEET, 0.0, timeout=0.03), 100.0
    start = calls.rate
    for _ in range(40):
        at += 1 / calls.rate
        calls.call_ended(at, model.CallStatus.OK, at - 0.006)
    quick = calls.rate
    assert quick > 1.3 * start  # a busy gateway takes what the quiet ones leave
    for _ in range(20):  # a line before the counter: late, but none is lost yet
        at += 1 / calls.rate
        calls.call_ended(at, model.CallStatus.OK, at - 0.025)
    assert calls.rate < 0.6 * quick and calls.available(at) > 0


def test_counter_calls_grow_with_time_and_not_with_each_answer() -> None:
    calls = CounterBudget(100.0, 4, 0.0)
    before, at = calls.rate, 100.0
    for _ in range(150):  # two seconds of answers
        at += 1 / before
        calls.call_ended(at, model.CallStatus.OK, at - 0.01)
    assert before < calls.rate < before + 15


def test_calls_that_are_often_lost_become_few_at_a_small_rate_too() -> None:
    """One in five is lost: at the even share of forty the step up for the others must not outrun the cuts."""
    calls, at = CounterBudget(100.0, FLEET, 0.0, timeout=0.03), 100.0
    start = calls.rate
    for n in range(200):
        at += 1 / calls.rate
        calls.call_ended(at, model.CallStatus.TIMEOUT if n % 5 == 0 else model.CallStatus.OK, at - 0.006)
    assert calls.rate < 0.5 * start


def test_calls_slow_down_when_the_counter_turns_them_away() -> None:
    world = w.World(w.settings())
    world.feed(w.servers("s0", "s1", "s2"))
    calls = 0
    per_second = []
    for id in range(2000):
        if id % 200 == 0:
            per_second.append(calls)
            calls = 0
        world.advance(world.now + 0.005)
        world.feed(w.request(id, "read", "small", f"a{id % 40}"))
        calls += len(world.counts)
        world.answer_counts(model.CallStatus.OVERLOADED)
        world.serve()
    assert per_second[-1] < 10


def test_hundreds_of_gateways_do_not_drown_the_counter() -> None:
    calls = 0
    for index in range(100):
        world = w.World(w.settings(gateway_count=300, gateway_index=index), index)
        world.feed(w.servers("s0", "s1", "s2"))
        for id in range(20):
            world.advance(world.now + 0.25)
            world.feed(model.Request(id, "read", "small", 3.0, f"a{id}", 1.0, 150))
            calls += len(world.counts)
            world.answer_counts(model.CallStatus.OVERLOADED)
            world.serve()
    assert calls < 100 * 5 * 1.7  # for 300 gateways 510 calls a second


def test_a_longer_silence_of_the_counter_is_tried_less_often() -> None:
    calls, waits = CounterBudget(100.0, FLEET, 0.5), []
    at = 101.0
    for _ in range(6):
        calls.call_ended(at, model.CallStatus.TIMEOUT, at, 0.5)
        waits.append(calls.unavailable_until - at)
        at = max(at, calls.unavailable_until) + 0.1
    assert waits[1:] == sorted(waits[1:]) and waits[1] < waits[-1] <= 2.0


def test_gateways_that_saw_one_silence_of_the_counter_do_not_come_back_as_one_crowd() -> None:
    rngs = [Random(seed) for seed in range(FLEET)]
    fleet = [CounterBudget(100.0, FLEET, rng.random()) for rng in rngs]
    ends = []
    for calls, rng in zip(fleet, rngs, strict=True):
        for at in (101.0, 102.0):
            calls.available(at)
            calls.call_ended(at, model.CallStatus.TIMEOUT, at - 0.01, rng.random())
        ends.append(calls.unavailable_until)
        assert calls.available(calls.unavailable_until - 1e-6) == 0
        assert calls.available(calls.unavailable_until) <= 1, "it saved up calls while it made none"
    assert max(sum(at <= end < at + 0.1 for end in ends) for at in (102.4 + n * 0.1 for n in range(12))) <= 10
