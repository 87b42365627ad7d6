"""CounterBudget: the call rate follows the latency of the counter, and calls pause during an outage."""

from __future__ import annotations

from random import Random

from quota_gateway import model
from quota_gateway.decisions.counter_budget import CounterBudget
from tests.simulation import GatewaySimulation, make_request, make_settings, start_simulation

GATEWAYS = 40
START = 100.0  # Unix time
TIMEOUT_SECONDS = 0.03
QUICK_REPLY_SECONDS = 0.006
QUEUED_REPLY_SECONDS = 0.025


def test_rate_grows_with_quick_replies_and_shrinks_with_queued_ones() -> None:
    budget = CounterBudget(START, GATEWAYS, 0.0, timeout=TIMEOUT_SECONDS)
    now = START
    start_rate = budget.rate
    for _ in range(40):
        now += 1 / budget.rate
        budget.record_result(now, model.CallStatus.OK, now - QUICK_REPLY_SECONDS)
    quick_rate = budget.rate
    assert quick_rate > 1.3 * start_rate  # a busy gateway can use calls that idle gateways do not make
    for _ in range(20):  # no call is lost yet
        now += 1 / budget.rate
        budget.record_result(now, model.CallStatus.OK, now - QUEUED_REPLY_SECONDS)
    assert budget.rate < 0.6 * quick_rate
    assert budget.available(now) > 0


def test_rate_increase_is_limited_per_second_whatever_the_number_of_replies() -> None:
    budget = CounterBudget(START, 4, 0.0)
    start_rate = budget.rate
    now = START
    for _ in range(150):  # two seconds at 75 replies per second
        now += 1 / start_rate
        budget.record_result(now, model.CallStatus.OK, now - 0.01)
    assert start_rate < budget.rate < start_rate + 15


def test_a_small_rate_shrinks_when_one_call_in_five_is_lost() -> None:
    """The increases after the other four calls must not outweigh the decrease after the lost one."""
    budget = CounterBudget(START, GATEWAYS, 0.0, timeout=TIMEOUT_SECONDS)
    now = START
    start_rate = budget.rate
    for call in range(200):
        now += 1 / budget.rate
        status = model.CallStatus.TIMEOUT if call % 5 == 0 else model.CallStatus.OK
        budget.record_result(now, status, now - QUICK_REPLY_SECONDS)
    assert budget.rate < 0.5 * start_rate


def test_calls_become_rare_while_the_counter_is_overloaded(simulation: GatewaySimulation) -> None:
    calls = 0
    calls_by_second: list[int] = []
    for request_id in range(2000):
        if request_id % 200 == 0:
            calls_by_second.append(calls)
            calls = 0
        simulation.advance_to(simulation.now + 0.005)
        simulation.feed(make_request(request_id, "read", "small", f"a{request_id % 40}"))
        calls += len(simulation.counter_calls)
        simulation.reply_to_counter_calls(model.CallStatus.OVERLOADED)
        simulation.complete_attempts()
    assert calls_by_second[-1] < 10


def test_hundreds_of_gateways_do_not_overload_the_counter() -> None:
    calls = 0
    for index in range(100):
        settings = make_settings(gateway_count=300, gateway_index=index)
        simulation = start_simulation(seed=index, settings=settings)
        for request_id in range(20):
            simulation.advance_to(simulation.now + 0.25)
            request = model.Request(
                id=request_id,
                request_class="read",
                plan="small",
                timeout=3.0,
                account=f"a{request_id}",
                units=1.0,
                serving_gateways=150,
            )
            simulation.feed(request)
            calls += len(simulation.counter_calls)
            simulation.reply_to_counter_calls(model.CallStatus.OVERLOADED)
            simulation.complete_attempts()
    assert calls < 100 * 5 * 1.7  # 100 of 300 gateways, 5 s, 1.7 calls per gateway and second


def test_pauses_between_calls_grow_during_an_outage() -> None:
    budget = CounterBudget(START, GATEWAYS, 0.5)
    pauses: list[float] = []  # seconds
    now = 101.0
    for _ in range(6):
        budget.record_result(now, model.CallStatus.TIMEOUT, now, 0.5)
        pauses.append(budget.unavailable_until - now)
        now = max(now, budget.unavailable_until) + 0.1
    assert pauses[1:] == sorted(pauses[1:])
    assert pauses[1] < pauses[-1] <= 2.0


def test_two_lost_calls_with_a_reply_between_them_are_no_outage() -> None:
    budget = CounterBudget(START, GATEWAYS, 0.5)
    budget.record_result(START + 1.0, model.CallStatus.TIMEOUT, START + 1.0)
    budget.record_result(START + 2.0, model.CallStatus.OK, START + 2.0)
    budget.record_result(START + 3.0, model.CallStatus.TIMEOUT, START + 3.0)
    assert budget.unavailable_until == 0.0
    budget.record_result(START + 4.0, model.CallStatus.TIMEOUT, START + 4.0)
    assert budget.unavailable_until > START + 4.0


def test_gateways_that_noticed_an_outage_together_call_again_at_different_times() -> None:
    rngs = [Random(seed) for seed in range(GATEWAYS)]
    budgets = [CounterBudget(START, GATEWAYS, rng.random()) for rng in rngs]
    outage_ends: list[float] = []  # Unix times
    for budget, rng in zip(budgets, rngs, strict=True):
        for now in (101.0, 102.0):
            budget.available(now)
            budget.record_result(now, model.CallStatus.TIMEOUT, now - 0.01, rng.random())
        outage_ends.append(budget.unavailable_until)
        assert budget.available(budget.unavailable_until - 1e-6) == 0
        assert budget.available(budget.unavailable_until) <= 1, "the bucket was refilled during the outage"
    window_starts = [102.4 + step * 0.1 for step in range(12)]
    ends_by_window = [sum(start <= end < start + 0.1 for end in outage_ends) for start in window_starts]
    assert max(ends_by_window) <= 10
