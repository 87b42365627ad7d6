"""The fleet test's stand-ins, its true books, and that it plays alike with any number of workers."""

from __future__ import annotations

import os
import signal
import time
from pathlib import Path
from typing import Any

import pytest

from scale.fleet import command as fleet
from scale.fleet import lockstep, world
from scale.fleet import simulation as staging
from scale.fleet.demand import Bucket, Client
from scale.fleet.lockstep import Exchange
from scale.fleet.peers import Counter, Discovery, Server
from scale.fleet.simulation import Play
from scale.fleet.tally import Tally
from scale.fleet.world import Timetable, World
from scale.model import BrokenRunError, Size

SMALL = Size(limiters=5, servers=20, tenants=75, rate=180.0)


def small_world(**changes: Any) -> World:
    return World(SMALL, Timetable.of(10.0), 1, 1, 930.0, **changes)


def test_the_counter_serves_no_more_than_its_capacity_and_late_answers_are_added() -> None:
    counter = Counter(1, 1000.0, 1)
    answers = [counter.call(i * 0.0005, 7, 1.0, 60.0) for i in range(2000)]  # twice what it bears, for 1 s
    times = [answer[0] for answer in answers if answer is not None]
    assert len(times) == 2000 and times == sorted(times)
    assert times[-1] == pytest.approx(2.0, rel=0.05)  # it works off its line at its own pace
    assert answers[-1] is not None and answers[-1][1] == 2000.0  # whoever had given up is in the total


def test_the_counters_parts_have_lines_of_their_own() -> None:
    counter = Counter(2, 1000.0, 1)
    for _ in range(100):
        counter.call(0.0, 2, 1.0, 60.0)
    crowded, free = counter.call(0.0, 4, 1.0, 60.0), counter.call(0.0, 3, 1.0, 60.0)
    assert crowded is not None and free is not None
    assert crowded[0] > 0.15 and free[0] < 0.004


def test_a_name_is_forgotten_its_lifetime_after_it_was_new() -> None:
    counter = Counter(1, 1000.0, 1)
    totals = [counter.call(at, 1, 2.0, 5.0) for at in (0.0, 4.0, 4.9, 5.1)]
    assert [t[1] for t in totals if t is not None] == [2.0, 4.0, 6.0, 2.0]
    assert (kept := counter.call(6.0, 2, 1.0, 500.0)) is not None
    assert (kept := counter.call(67.0, 2, 1.0, 500.0)) is not None and kept[1] == 1.0  # 60 s at most


def test_a_silent_counter_answers_nothing_and_comes_back_empty() -> None:
    counter = Counter(1, 1000.0, 1, silences=((1.0, 2.0),))
    counter.call(0.5, 1, 5.0, 60.0)
    assert counter.call(1.5, 1, 5.0, 60.0) is None
    back = counter.call(2.5, 1, 1.0, 60.0)
    assert back is not None and back[1] == 1.0


def test_like_fleets_take_their_part_of_the_counter() -> None:
    alone, shared = Counter(1, 1000.0, 1), Counter(1, 1000.0, 1, crowd=20)
    last = [counter.call(i * 0.01, 1, 1.0, 60.0) for counter in (alone, shared) for i in range(200)]
    assert (quick := last[199]) is not None and quick[0] - 1.99 < 0.002
    assert (late := last[399]) is not None and late[0] - 1.99 > 0.5  # 2,000 calls a second in all


def test_a_server_queues_fills_up_and_begins_nothing_whose_time_is_over() -> None:
    server = Server(0.0)
    ends = [server.arrive(0.0, 0.1, 10.0) for _ in range(world.CORES + world.ROOM + 1)]
    assert [how for how, _ in ends] == ["ok"] * (world.CORES + world.ROOM) + ["full"]
    assert ends[world.CORES][1] == pytest.approx(0.2)
    other = Server(0.0)
    for _ in range(world.CORES):
        other.arrive(0.0, 1.0, 2.0)
    assert other.arrive(0.0, 1.0, 0.5)[0] == "silent"
    assert other.arrive(0.0, 1.0, 1.5) == ("ok", 2.0)


def test_a_cold_server_is_slow_and_falls_when_more_comes_than_its_multiple() -> None:
    gentle, pushed = Server(5.0), Server(5.0)
    how, done = gentle.arrive(5.0, 0.1, 2.0)
    assert how == "ok" and done == pytest.approx(5.0 + 0.1 / world.COLD_SHARE)
    bears = world.FALL_MULTIPLE * world.CORES * world.COLD_SHARE
    sent = [pushed.arrive(5.0 + i * 0.001, 0.1, 2.0)[0] for i in range(20)]
    assert sent.index("unreachable") == int(bears / 0.1)
    assert pushed.fallen and pushed.arrive(60.0, 0.1, 2.0)[0] == "unreachable" and not gentle.fallen


def test_the_true_bucket_counts_all_limiters_and_takes_nothing_for_what_is_beyond() -> None:
    bucket = Bucket(2.0, 4.0)
    assert [bucket.take(0.0, 3.0), bucket.take(0.0, 3.0), bucket.take(0.5, 2.0)] == [True, False, True]
    assert bucket.fill(10.0) == 4.0


def asked_at(client: Client, at: float) -> int:
    _, note = client.ask(at)
    assert note is not None
    return int(note[5])


def test_the_books_tell_beyond_ceilings_room_and_losses() -> None:
    built = small_world()
    tenant = next(t for t in built.tenants if t.plan == 1)
    tally = Tally((0.0,))
    client = Client(tenant, built.plans[1], built, tally)
    counts, numbers = tally.phases[0], list[int]()
    while client.ceiling.level > -client.ceiling.burst:
        numbers.append(asked_at(client, 2.0))
        client.note((2.0, 0, 0, 0, "sent", numbers[-1]))
    assert counts["units beyond"] + client.sent.burst >= counts["units sent"] > client.ceiling.burst
    assert counts["ceilings passed"] > 0
    client.note((2.1, 0, 0, 0, "served", numbers[0]))
    assert counts["lost"] == 0 and counts["in aim"] == 1
    client.note((6.0, 0, 0, 0, "failed", numbers[1], "attempts"))
    assert counts["lost"] == 1
    client.note((9.0, 0, 0, 0, "refused", numbers[2], "gate"))
    assert counts["with room: gate"] == 1  # by then its bucket is full again
    with pytest.raises(AssertionError, match="second final answer"):
        client.note((9.0, 0, 0, 0, "served", numbers[0]))


def test_a_run_is_the_same_with_one_worker_and_with_two_and_breaks_no_rule() -> None:
    play = Play(SMALL, Timetable.of(10.0), crowd=84)
    one, two = staging.run(play, 1), staging.run(play, 2)
    assert one.tally.phases == two.tally.phases
    assert one.tally.seconds == two.tally.seconds and one.tally.waits == two.tally.waits
    found = fleet.summary(play, two)
    over = found["over all"]
    assert over["lost"] == over["ceilings passed"] == 0 and 0.5 < over["service"] <= 1.0
    assert found["phases"]["restart"]["ended"]["failed: killed"] > 0
    assert found["phases"]["cut"]["attempts"]["unreachable"] > 0
    assert "calls/s" in fleet.show(found)


def test_decisions_come_from_another_checkout_where_one_is_given(tmp_path: Path) -> None:
    (tmp_path / "quota_gateway").mkdir()
    (tmp_path / "quota_gateway" / "__init__.py").write_text("raise RuntimeError('the other one')")
    with pytest.raises(BrokenRunError, match="the other one"):
        staging.run(Play(SMALL, Timetable.of(10.0), package=str(tmp_path)), 1)


def work_until_killed(me: int, count: int, exchange: Exchange, task: float) -> None:
    until = time.monotonic() + task
    while time.monotonic() < until:
        exchange([[] for _ in range(count)])


def kill_last(workers: list[int]) -> None:
    os.kill(workers[-1], signal.SIGKILL)


def test_a_killed_worker_ends_the_run_with_its_cause() -> None:
    with pytest.raises(BrokenRunError, match=r"worker 1.* exit code -9"):
        lockstep.run(work_until_killed, 2, 10.0, kill_last)


def test_a_percentile_counts_those_that_did_not_wait() -> None:
    waits = {1000: 1, 2000: 1}
    assert fleet.percentile(waits.items(), 98, 0.98) == 0.0
    assert fleet.percentile(waits.items(), 98, 0.99) == 0.001
    assert fleet.percentile(waits.items(), 0, 0.99) == 0.002


def test_a_reduced_fleet_keeps_its_proportions() -> None:
    part = fleet.reduced(Size(), 0.1)
    assert (part.limiters, part.servers, part.tenants, part.rate) == (42, 340, 1500, 3600.0)
    assert fleet.crowd(part, Size()) == 10


def test_discovery_serves_calls_in_turn_and_each_limiter_watches_in_the_end() -> None:
    discovery = Discovery(10.0)
    assert [discovery.call(0.0) for _ in range(3)] == pytest.approx([0.1, 0.2, 0.3])
    table = Timetable(28.0, 1.0, (2.0, 3.0), 4.0, (13.0, 18.0))
    phases = staging.run(Play(SMALL, table, lists=2.0), 1).tally.phases
    calls, vain, watches = (
        sum(p[k] for p in phases) for k in ("list calls", "list calls in vain", "watches")
    )
    # At the start, at the return of those killed and once the cut has ended; each call ends once.
    assert watches >= SMALL.limiters + round(0.7 * SMALL.limiters) + 2
    assert vain > 0 and calls == vain + watches
