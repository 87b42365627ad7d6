"""The plan of a soak run, and what its command says where nothing can be played."""

from __future__ import annotations

from itertools import pairwise

import pytest

from soak.cli import EXIT_CLEAN, EXIT_NO_VERDICT, main
from soak.limiter_troubles import ServiceTroubles
from soak.plan import QUIET_SECONDS, WARM_UP_SECONDS, make_plan
from soak.process_troubles import ProcessTroubles
from soak.troubles import TROUBLES, Family, Target


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
