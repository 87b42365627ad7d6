"""The fleet simulation: its services follow their specification, and its counts of the usage are exact.

One and two workers give equal results, and a worker that exits fails the run.
"""

from __future__ import annotations

import os
import signal
import time
from pathlib import Path

import pytest

from scale.fleet import lockstep, parameters
from scale.fleet.clients import TenantClients
from scale.fleet.counter import CounterReply, SimulatedCounter
from scale.fleet.discovery import SimulatedDiscovery
from scale.fleet.endpoint import SimulatedEndpoint
from scale.fleet.faults import FaultSchedule, Interval
from scale.fleet.lockstep import Exchange
from scale.fleet.messages import (
    ROLES,
    AttemptOutcome,
    ClientRequest,
    Envelope,
    Event,
    RequestEnded,
    RequestForwarded,
    RequestResult,
    RequestServed,
)
from scale.fleet.scale_test import fleets_sharing_counter, reduced_size
from scale.fleet.scenario import Scenario, World
from scale.fleet.simulation import simulate
from scale.fleet.summary import percentile, summarize
from scale.fleet.tally import Tally
from scale.fleet.text_report import format_summary
from scale.fleet.token_bucket import TokenBucket
from scale.fleet.wire_format import decode, encode
from scale.model import RunFailedError, Size

SMALL_FLEET = Size(limiters=5, servers=20, tenants=75, rate=180.0)


def require_reply(reply: CounterReply | None) -> CounterReply:
    assert reply is not None
    return reply


def test_the_counter_serves_at_its_capacity_and_adds_calls_that_timed_out() -> None:
    counter = SimulatedCounter(1, 1000.0, seed=1)
    # Twice the capacity, for 1 s.
    replies = [counter.call(number * 0.0005, 7, 1.0, 60.0) for number in range(2000)]
    times = [reply.replied_at for reply in replies if reply is not None]
    assert len(times) == 2000
    assert times == sorted(times)
    assert times[-1] == pytest.approx(2.0, rel=0.05)  # the queue is served at the capacity
    assert require_reply(replies[-1]).total == 2000.0  # the total includes calls that timed out


def test_each_partition_of_the_counter_has_its_own_queue() -> None:
    counter = SimulatedCounter(2, 1000.0, seed=1)
    for _ in range(100):
        counter.call(0.0, 2, 1.0, 60.0)
    busy = require_reply(counter.call(0.0, 4, 1.0, 60.0))
    idle = require_reply(counter.call(0.0, 3, 1.0, 60.0))
    assert busy.replied_at > 0.15
    assert idle.replied_at < 0.004


def test_a_counter_total_expires_one_lifetime_after_its_first_call() -> None:
    counter = SimulatedCounter(1, 1000.0, seed=1)
    totals = [require_reply(counter.call(at, 1, 2.0, 5.0)).total for at in (0.0, 4.0, 4.9, 5.1)]
    assert totals == [2.0, 4.0, 6.0, 2.0]
    assert counter.call(6.0, 2, 1.0, 500.0) is not None
    assert require_reply(counter.call(67.0, 2, 1.0, 500.0)).total == 1.0  # the maximum lifetime is 60 s


def test_the_counter_does_not_reply_in_an_outage_and_is_empty_after_it() -> None:
    counter = SimulatedCounter(1, 1000.0, seed=1, outages=(Interval(1.0, 2.0),))
    counter.call(0.5, 1, 5.0, 60.0)
    assert counter.call(1.5, 1, 5.0, 60.0) is None
    assert require_reply(counter.call(2.5, 1, 1.0, 60.0)).total == 1.0


def test_other_fleets_that_share_the_counter_use_part_of_its_capacity() -> None:
    unshared = SimulatedCounter(1, 1000.0, seed=1)
    shared = SimulatedCounter(1, 1000.0, seed=1, fleets_sharing_counter=20)
    unshared_replies = [unshared.call(number * 0.01, 1, 1.0, 60.0) for number in range(200)]
    shared_replies = [shared.call(number * 0.01, 1, 1.0, 60.0) for number in range(200)]
    assert require_reply(unshared_replies[-1]).replied_at - 1.99 < 0.002
    assert require_reply(shared_replies[-1]).replied_at - 1.99 > 0.5  # 2,000 calls a second in total


def test_an_endpoint_queues_attempts_up_to_its_limit_and_skips_those_that_timed_out() -> None:
    endpoint = SimulatedEndpoint(restarts_at=0.0)
    accepted = parameters.ENDPOINT_CORES + parameters.ENDPOINT_QUEUE_LIMIT
    results = [endpoint.attempt(0.0, 0.1, 10.0) for _ in range(accepted + 1)]
    outcomes = [result.outcome for result in results]
    assert outcomes == [AttemptOutcome.OK] * accepted + [AttemptOutcome.OVERLOADED]
    assert results[parameters.ENDPOINT_CORES].ended_at == pytest.approx(0.2)
    busy = SimulatedEndpoint(restarts_at=0.0)
    for _ in range(parameters.ENDPOINT_CORES):
        busy.attempt(0.0, 1.0, 2.0)
    assert busy.attempt(0.0, 1.0, 0.5).outcome is AttemptOutcome.TIMED_OUT
    assert busy.attempt(0.0, 1.0, 1.5) == (AttemptOutcome.OK, 2.0)


def test_a_warming_up_endpoint_is_slow_and_fails_beyond_the_overload_factor() -> None:
    lightly_loaded, overloaded = SimulatedEndpoint(restarts_at=5.0), SimulatedEndpoint(restarts_at=5.0)
    outcome, ended_at = lightly_loaded.attempt(5.0, 0.1, 2.0)
    assert outcome is AttemptOutcome.OK
    assert ended_at == pytest.approx(5.0 + 0.1 / parameters.INITIAL_CAPACITY_FRACTION)
    max_work = parameters.OVERLOAD_FACTOR * parameters.ENDPOINT_CORES * parameters.INITIAL_CAPACITY_FRACTION
    outcomes = [overloaded.attempt(5.0 + number * 0.001, 0.1, 2.0).outcome for number in range(20)]
    assert outcomes.index(AttemptOutcome.UNREACHABLE) == int(max_work / 0.1)
    assert overloaded.failed
    assert not lightly_loaded.failed
    assert overloaded.attempt(60.0, 0.1, 2.0).outcome is AttemptOutcome.UNREACHABLE


def test_a_token_bucket_keeps_its_tokens_if_a_request_exceeds_them() -> None:
    bucket = TokenBucket(2.0, 4.0)
    assert [bucket.take(0.0, 3.0), bucket.take(0.0, 3.0), bucket.take(0.5, 2.0)] == [True, False, True]
    assert bucket.fill(10.0) == 4.0


def start_request(clients: TenantClients, at: float) -> int:
    """Start a new request and return its id."""
    _, envelope = clients.start_request(at)
    assert envelope is not None
    assert isinstance(envelope.event, ClientRequest)
    return envelope.event.request_id


def test_tenant_usage_counts_units_over_quota_exceeded_ceilings_rejections_and_lost_requests() -> None:
    world = World(Scenario(SMALL_FLEET, FaultSchedule.for_run(10.0)))
    tenant = next(tenant for tenant in world.tenants if tenant.plan == 1)
    tally = Tally((0.0,))
    clients = TenantClients(tenant, world, tally)
    usage = clients.usage
    counts = tally.phases[0]
    requests = list[int]()
    while usage.ceiling_bucket.tokens > -usage.ceiling_bucket.burst:
        requests.append(start_request(clients, 2.0))
        clients.receive(2.0, RequestForwarded(requests[-1]))
    assert counts["units over quota"] + usage.forwarded_bucket.burst >= counts["units sent"]
    assert counts["units sent"] > usage.ceiling_bucket.burst
    assert counts["ceilings exceeded"] > 0
    clients.receive(2.1, RequestServed(requests[0]))
    assert counts["lost"] == 0
    assert counts["within latency objective"] == 1
    clients.receive(6.0, RequestEnded(requests[1], RequestResult.FAILED, "attempts"))
    assert counts["lost"] == 1
    clients.receive(9.0, RequestEnded(requests[2], RequestResult.REJECTED, "gate"))
    assert counts["rejected within quota: gate"] == 1  # the bucket is full again
    with pytest.raises(AssertionError, match="request that already has its final response"):
        clients.receive(9.0, RequestServed(requests[0]))


def test_one_and_two_workers_give_equal_results_and_violate_no_invariant() -> None:
    scenario = Scenario(SMALL_FLEET, FaultSchedule.for_run(10.0), fleets_sharing_counter=84)
    one, two = simulate(scenario, 1), simulate(scenario, 2)
    assert one.tally.phases == two.tally.phases
    assert one.tally.seconds == two.tally.seconds
    assert one.tally.waits == two.tally.waits
    summary = summarize(scenario, two)
    total = summary["over all"]
    assert total["lost"] == total["ceilings passed"] == 0
    assert 0.5 < total["service"] <= 1.0
    assert summary["phases"]["restart"]["ended"]["failed: killed"] > 0
    assert summary["phases"]["cut"]["attempts"]["unreachable"] > 0
    assert "calls/s" in format_summary(summary)


def test_decisions_are_imported_from_the_given_checkout(tmp_path: Path) -> None:
    (tmp_path / "quota_gateway").mkdir()
    (tmp_path / "quota_gateway" / "__init__.py").write_text(
        "raise RuntimeError('imported from the other checkout')"
    )
    scenario = Scenario(SMALL_FLEET, FaultSchedule.for_run(10.0), package=str(tmp_path))
    with pytest.raises(RunFailedError, match="imported from the other checkout"):
        simulate(scenario, 1)


def work_until_killed(_index: int, count: int, exchange: Exchange, seconds: float) -> None:
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        exchange([[] for _ in range(count)])


def kill_last_worker(process_ids: list[int]) -> None:
    os.kill(process_ids[-1], signal.SIGKILL)


def test_a_killed_worker_fails_the_run_with_its_exit_code() -> None:
    with pytest.raises(RunFailedError, match=r"worker 1.* exit code -9"):
        lockstep.run_workers(work_until_killed, 2, 10.0, kill_last_worker)


def test_a_percentile_includes_requests_that_did_not_wait() -> None:
    waits = {1000: 1, 2000: 1}
    assert percentile(waits.items(), 98, 0.98) == 0.0
    assert percentile(waits.items(), 98, 0.99) == 0.001
    assert percentile(waits.items(), 0, 0.99) == 0.002


def test_a_reduced_fleet_keeps_its_proportions() -> None:
    fleet = reduced_size(Size(), 0.1)
    assert (fleet.limiters, fleet.servers, fleet.tenants, fleet.rate) == (42, 340, 1500, 3600.0)
    assert fleets_sharing_counter(fleet, Size()) == 10


def test_discovery_serves_calls_in_turn_and_every_limiter_opens_a_watch() -> None:
    discovery = SimulatedDiscovery(10.0)
    assert [discovery.call(0.0) for _ in range(3)] == pytest.approx([0.1, 0.2, 0.3])
    schedule = FaultSchedule(
        end=28.0,
        fault_free_from=1.0,
        zone_outage=Interval(2.0, 3.0),
        restart_at=4.0,
        partition=Interval(13.0, 18.0),
    )
    phases = simulate(Scenario(SMALL_FLEET, schedule, discovery_capacity=2.0), 1).tally.phases
    calls, timed_out, watches = (
        sum(phase[name] for phase in phases)
        for name in ("discovery calls", "discovery calls timed out", "watches")
    )
    # Watches open at the start, after the restarts and after the partition; each call ends once.
    assert watches >= SMALL_FLEET.limiters + round(0.7 * SMALL_FLEET.limiters) + 2
    assert timed_out > 0
    assert calls == timed_out + watches


@pytest.mark.parametrize("event_type", ROLES, ids=lambda event_type: event_type.__name__)
def test_envelopes_are_unchanged_by_encoding_and_decoding(event_type: type[Event]) -> None:
    event = event_type(*range(len(event_type._fields)))
    sent = [Envelope(0.5, source=3, sequence=7, recipient=2, event=event)]
    received = decode(encode(sent))
    assert received == sent
    assert type(received[0].event) is event_type
