"""Slow start over a fleet."""

from __future__ import annotations

from collections.abc import Callable
from functools import cache

import pytest

from tests.fleet_simulation import SETTLED, Fleet

Case = Callable[[Fleet], list[str]]


def joined(f: Fleet) -> list[str]:
    return f.join(["new"])


def half_replaced(f: Fleet) -> list[str]:
    return f.replace_half()


def back_again(f: Fleet) -> list[str]:
    return f.restart(["s1"])


def zone_back(f: Fleet) -> list[str]:
    return f.restart([n for n, s in f.servers.items() if s.entry.zone == "a"], 3.0)


def told_late(f: Fleet) -> list[str]:
    return f.restart(["s0", "s1"], latest=4.0)


def lost_and_back(f: Fleet) -> list[str]:
    """No list tells of it: what each gateway learns, and its probes, are all that it goes by."""
    return f.restart(["s0", "s1"], 3.0, listed=False)


def half_begun_again(f: Fleet) -> list[str]:
    f.begin_again(2, 3.0)
    return f.restart(["s0", "s1"])


def all_begun_again(f: Fleet) -> list[str]:
    """Nobody knows what a warm server does, and all learn it at once."""
    f.begin_again(1, 1.0)
    return f.restart(["s0", "s1"], 1.0)


def begun_again_in_a_release(f: Fleet) -> list[str]:
    f.begin_again(2, 3.0)
    return f.replace_half()


def burst_upon_new(f: Fleet) -> list[str]:
    """What was saved up while little was asked for goes out at once."""
    names, f.rate = f.join(["new0", "new1"]), 0.3 * f.rate
    f.run(f.now + 1.5)
    f.rate /= 0.3
    return names


CASES = (
    joined, half_replaced, back_again, zone_back, told_late, lost_and_back, half_begun_again, all_begun_again,
    begun_again_in_a_release, burst_upon_new,
)  # fmt: skip
SHAPES = {3: (6, 2), 30: (8, 2), 200: (20, 1)}  # servers and their cores


@cache
def played(case: Case, gateways: int, load: float, seed: int, quick: bool = False) -> tuple[Fleet, list[str]]:
    servers, cores = SHAPES[gateways]
    fleet = Fleet(gateways, servers, load, seed, cores, quick=quick).run(SETTLED)
    names = case(fleet)
    fleet.run(max(fleet.servers[n].warm_from for n in names) + fleet.set.warm_up_time)
    return fleet, names


@pytest.mark.parametrize("gateways", SHAPES)
@pytest.mark.parametrize("case", CASES)
def test_no_cold_server_falls_under_the_sum_of_all_gateways(case: Case, gateways: int) -> None:
    for load, seed in ((0.5, 1), (1.3, 2)):
        fleet, names = played(case, gateways, load, seed)
        worst = fleet.worst(names, only_told=case is not lost_and_back)
        assert 0 < worst[0] < 1, f"load {load}: so much of what it bears, at the age of, which: {worst}"


@pytest.mark.parametrize("gateways", (3, 30))
@pytest.mark.parametrize("case", (joined, half_replaced, zone_back, burst_upon_new))
def test_quick_answers_do_not_lift_the_ramp_past_what_the_settings_allow(case: Case, gateways: int) -> None:
    """Slow answers keep requests away besides; here the budget has to hold alone, and takes it for warmer."""
    fleet, names = played(case, gateways, 1.3, 2, True)
    worst = fleet.worst(names, only_told=True)
    assert 0 < worst[0] < 1, f"so much of what it bears, at the age of, which: {worst}"
