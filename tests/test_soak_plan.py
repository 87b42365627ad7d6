"""The plan of a soak run, and what its command says where nothing can be played."""

from __future__ import annotations

from itertools import pairwise

import pytest

from soak.cli import EXIT_CLEAN, EXIT_NO_VERDICT, main
from soak.limiter_troubles import ServiceTroubles
from soak.plan import QUIET_SECONDS, WARM_UP_SECONDS, make_plan
from soak.process_troubles import ProcessTroubles
from soak.troubles import TROUBLES, Family, Target

# Seed 7, 20 s, 6 limiters: kind, start, duration, limiters, endpoints, draw. A renamed kind changes its name
# here and nothing else: the same seed keeps its draws, times and targets.
PLAN_OF_SEED_7 = [
    ("upgrade_both_end", 2.815974, 3.372498, (3,), (), 0.445375),
    ("stall", 3.073719, 2.101419, (4,), (), 0.210536),
    ("resets", 3.289224, 1.686760, (), (3,), 0.685056),
    ("upgrade_back", 5.197599, 1.762849, (0, 1, 2, 3, 4, 5), (), 0.688514),
    ("path_delay", 5.732300, 1.634090, (), (0, 3), 0.311750),
    ("accept_fails", 5.754566, 2.568542, (5,), (), 0.387031),
    ("upgrade_back", 7.297971, 2.024268, (5,), (), 0.473869),
    ("interrupted_waits", 7.343748, 1.707232, (3,), (), 0.404050),
    ("half_close", 7.493497, 2.500648, (0, 1, 2, 3, 4, 5), (), 0.773966),
    ("stop", 8.934897, 1.966625, (1,), (), 0.645834),
    ("folder_broken", 9.186365, 1.475383, (4,), (), 0.248309),
    ("path_reset", 11.289415, 1.933449, (), (0, 3), 0.772240),
    ("cold_back", 11.451819, 2.909872, (), (3, 7), 0.058718),
    ("burst", 11.649896, 2.544552, (0, 1, 2, 3, 4, 5), (), 0.730900),
    ("counter_silent", 14.139634, 0.706493, (5,), (), 0.719088),
    ("cold_back", 14.297621, 1.448431, (), (7, 8), 0.968777),
    ("burst", 14.506715, 1.453449, (2,), (), 0.965183),
]  # fmt: skip


def _rounded(kind: str, start: float, duration: float) -> tuple[str, float, float]:
    return kind, round(start, 6), round(duration, 6)


def test_the_plan_of_a_seed_stays_as_it_is() -> None:
    plan = make_plan(7, 20.0, 6)
    assert plan.held == (False, False, False, False, True, False)
    assert (plan.endpoints, plan.clock_error) == (9, 0.0)
    rows = [
        (*_rounded(each.kind, each.at, each.duration), each.limiters, each.endpoints, round(each.draw, 6))
        for each in plan.troubles
    ]
    assert rows == PLAN_OF_SEED_7


def test_a_plan_follows_from_its_seed_alone() -> None:
    assert make_plan(7, 30.0, 24) == make_plan(7, 30.0, 24)
    assert make_plan(7, 30.0, 24) != make_plan(8, 30.0, 24)


def test_troubles_overlap_and_leave_a_quiet_end() -> None:
    overlapping = 0
    for seed in range(20):
        troubles = make_plan(seed, 30.0, 24).troubles
        assert all(trouble.at >= WARM_UP_SECONDS for trouble in troubles)
        assert all(trouble.at + trouble.duration <= 30.0 - QUIET_SECONDS + 1e-9 for trouble in troubles)
        overlapping += sum(first.at + first.duration > second.at for first, second in pairwise(troubles))
    assert overlapping > 100


def test_each_kind_of_trouble_is_played_and_meets_what_it_is_for() -> None:
    played = set[str]()
    for seed in range(120):
        for trouble in make_plan(seed, 30.0, 24).troubles:
            played.add(trouble.kind)
            met = trouble.limiters if TROUBLES[trouble.kind].target is Target.LIMITERS else trouble.endpoints
            assert met
    assert played == set(TROUBLES)


@pytest.mark.parametrize(
    "arguments",
    [
        [], ["--seed", "x"], ["--seeds", "5..1"], ["--seeds", "1-5"], ["--seed", "1", "--seeds", "1..2"],
        ["--seed", "1", "--limiters", "0"], ["--seed", "1", "--seconds", "1"], ["--nonsense"],
    ],
)  # fmt: skip
def test_bad_arguments_give_a_line_and_code_2(
    arguments: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(arguments) == EXIT_NO_VERDICT
    captured = capsys.readouterr()
    assert captured.err.startswith("soak: ") and captured.out == ""


def test_the_list_names_every_trouble(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["--list"]) == EXIT_CLEAN
    listed = capsys.readouterr().out
    assert all(name in listed for name in TROUBLES)


def test_a_plan_can_be_printed_without_playing_it(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["--seed", "3", "--plan"]) == EXIT_CLEAN
    assert capsys.readouterr().out.startswith("seed 3: 24 limiters")


def test_each_trouble_of_a_limiter_has_what_plays_it() -> None:
    kinds = {
        Family.PROCESS: ProcessTroubles,
        Family.NETWORK: ServiceTroubles,
    }
    for name, spec in TROUBLES.items():
        if spec.target is Target.LIMITERS and spec.family in kinds:
            assert callable(getattr(kinds[spec.family], name))
