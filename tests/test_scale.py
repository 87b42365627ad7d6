"""The scale tests' command, fits and workers, and a run of each test at a tiny size."""

from __future__ import annotations

import json
import socket
import subprocess
import sys
import tracemalloc
from pathlib import Path

import pytest
from click.testing import CliRunner, Result

from scale import cli, messages, regression, state, worker
from scale.model import BrokenRunError, Budget, Effort, Figure, Origin, ScaleTest, Size
from scale.model import Result as Found
from scale.registry import TESTS

TINY = ("--limiters", "3", "--servers", "100", "--services", "4", "--tenants", "100", "--rate", "30",
        "--routes", "8", "--runs", "1", "--processes", "8")  # fmt: skip


def scale(*words: str) -> Result:
    return CliRunner().invoke(cli.main, words)


def made(value: float, name: str = "made") -> ScaleTest:
    """A test that finds one figure with a budget of 1."""
    found = Found([regression.line("cost", "B", "things", {1: [1], 2: [2], 3: [3], 4: [4]})])
    found.figures.append(Figure(f"{name} cost", "B", value, Origin.MEASURED, "made", 1.0))
    return ScaleTest(name, "made", lambda _size, _budget, _effort: found)


def breaking(function: str) -> ScaleTest:
    def run(size: Size, budget: Budget, effort: Effort) -> Found:
        worker.call_all([(function, {})] * 2, effort.processes)
        return Found()

    return ScaleTest("broken", "dies", run)


@pytest.fixture
def tests(monkeypatch: pytest.MonkeyPatch) -> list[ScaleTest]:
    listed: list[ScaleTest] = []
    monkeypatch.setattr(cli, "TESTS", listed)
    return listed


@pytest.mark.parametrize(
    ("words", "told"),
    [
        (("--servers", "-3"), "--servers"),
        (("--limiters", "0"), "--limiters"),
        (("--tenants", "many"), "--tenants"),
        (("--rate", "nan"), "--rate"),
        (("--rate", "inf"), "--rate"),
        (("--limiters", "9"), "--rate"),
        (("--routes", "99999999999"), "--routes"),
        (("--spread", "421"), "--spread"),
        (("--tenants", "90000000"), "memory"),
        (("--processes", "256"), "--processes"),
        (("--runs", "0"), "--runs"),
        (("--json", "/nowhere/at/all.json"), "--json"),
        (("nosuch",), "'nosuch'"),
    ],
)
def test_bad_input_is_refused_at_once_by_name(
    words: tuple[str, ...], told: str, tests: list[ScaleTest]
) -> None:
    ran = []
    tests.append(ScaleTest("made", "made", lambda *_: ran.append(1) or Found()))  # type: ignore[func-returns-value]
    done = scale(*words)
    assert done.exit_code == cli.BAD_INPUT
    assert told in done.output
    assert not ran


@pytest.mark.parametrize(("value", "code", "verdict"), [(1.0, 0, "ok"), (1.01, 1, "OVER")])
def test_a_passed_budget_ends_non_zero(
    value: float, code: int, verdict: str, tests: list[ScaleTest], tmp_path: Path
) -> None:
    tests.append(made(value))
    path = tmp_path / "kept.json"
    done = scale("--json", str(path))
    assert done.exit_code == code
    assert verdict in done.stdout
    kept = json.loads(path.read_text())
    assert kept["tests"]["made"]["figures"][0]["value"] == value
    assert kept["tests"]["made"]["slopes"][0]["slope"] == pytest.approx(1.0)
    assert {"date", "commit", "python", "size", "effort", "budget", "broken"} <= set(kept)


@pytest.mark.parametrize(
    ("function", "cause"),
    [("os:abort", "SIGABRT"), ("scale.state:nosuch", "nosuch"), ("sys:exit", "no result")],
)  # fmt: skip
def test_a_broken_run_gives_its_cause_and_none_of_its_figures(
    function: str, cause: str, tests: list[ScaleTest], tmp_path: Path
) -> None:
    tests += [breaking(function), made(0.5)]
    path = tmp_path / "kept.json"
    done = scale("--json", str(path))
    assert done.exit_code == cli.BROKEN
    assert cause in done.stderr
    assert "those of made stay" in done.stderr
    assert "made cost" in done.stdout
    kept = json.loads(path.read_text())
    assert list(kept["tests"]) == ["made"]
    assert cause in kept["broken"]["broken"]


@pytest.mark.parametrize(("error", "code"), [(KeyError("x"), cli.BROKEN), (KeyboardInterrupt(), 130)])
def test_no_other_end_passes_for_a_passed_budget(
    error: BaseException, code: int, tests: list[ScaleTest]
) -> None:
    def fail(*_: object) -> Found:
        raise error

    tests.append(ScaleTest("made", "made", fail))
    assert scale().exit_code == code


def test_a_figure_that_is_no_number_breaks_its_test(tests: list[ScaleTest]) -> None:
    tests.append(made(float("nan")))
    done = scale()
    assert done.exit_code == cli.BROKEN
    assert "made cost" not in done.stdout


def test_a_stand_in_that_dies_ends_the_job_with_its_cause(monkeypatch: pytest.MonkeyPatch) -> None:
    def dying(_said: socket.socket) -> None:
        raise OSError("no more of it")

    play = state.stand_in
    monkeypatch.setattr(state, "stand_in", lambda _play: play(dying))
    for job in (state.held_by_clients, state.held_by_server_side):
        with pytest.raises(ConnectionError, match=r"stand-in died.*no more of it"):
            job(4)
    tracemalloc.stop()  # a job leaves it on for its process, and all the other tests would be slow with it


def test_a_stand_in_that_fails_on_a_call_ends_the_job(monkeypatch: pytest.MonkeyPatch) -> None:
    async def dying(*_: object) -> bytes:
        raise ValueError("cannot be read")

    monkeypatch.setattr(messages.Tap, "line", dying)
    for job in (messages.counter_bytes, messages.probe_bytes):
        with pytest.raises(ConnectionError, match=r"stand-in died.*cannot be read"):
            job()


def test_results_are_kept_whole_or_not_at_all(tmp_path: Path) -> None:
    path = tmp_path / "kept.json"
    cli.write_whole(path, {"run": 1})
    with pytest.raises(ValueError, match="JSON"):
        cli.write_whole(path, {"run": float("nan")})
    assert json.loads(path.read_text()) == {"run": 1}
    with pytest.raises(OSError, match="directory"):
        cli.write_whole(tmp_path / "none" / "kept.json", {})
    (tmp_path / "folder").mkdir()
    with pytest.raises(OSError, match="folder"):
        cli.write_whole(tmp_path / "folder", {})
    assert sorted(one.name for one in tmp_path.iterdir()) == ["folder", "kept.json"]


def test_a_line_is_found_through_the_medians() -> None:
    line = regression.line("cost", "B", "things", {n: [3 * n + 7, 3 * n + 7, 1e6] for n in (10, 20, 40, 80)})
    assert [line.slope, line.intercept] == pytest.approx([3.0, 7.0])
    assert line.residual < 1e-9
    assert regression.doubt(line) == ""
    assert [regression.at(line, 40), regression.at(line, 100)] == pytest.approx([127, 307])


def test_a_curve_and_too_few_points_are_flagged() -> None:
    assert (
        regression.doubt(regression.line("cost", "B", "things", {n: [n * n] for n in (10, 20, 40, 80)}))
        == "no line"
    )
    assert regression.doubt(regression.line("cost", "B", "things", {1: [1], 2: [2], 3: [3]})) == "few points"
    bad: list[dict[float, list[float]]] = [{1: [1.0]}, {1: [1.0], 2: []}, {}]
    for points in bad:
        with pytest.raises(ValueError, match="two sizes"):
            regression.line("cost", "B", "things", points)


def test_each_test_runs_at_a_tiny_size(monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> None:
    path = tmp_path / "kept.json"
    done = scale("state", "messages", "cpu", "--quick", "--json", str(path), *TINY)
    assert done.exit_code == cli.WITHIN, done.output
    kept = json.loads(path.read_text())["tests"]
    assert {name: len(one["figures"]) for name, one in kept.items()} == {"state": 0, "messages": 0, "cpu": 0}
    for one in kept.values():
        assert all(len(slope["points"]) >= 4 for slope in one["slopes"])


def test_the_whole_process_is_measured_after_load_and_churn() -> None:
    size = {"limiters": 3, "servers": 40, "services": 4, "tenants": 40, "rate": 30.0}
    seen = worker.call("scale.state:whole_process", size=size, wide=True, seed=1, load=5.0, hour=60.0)
    assert 5e6 < seen["start"] <= seen["list"] <= seen["load"] < 200e6
    assert seen["hour"] > 5e6


def test_the_command_is_the_readme_one() -> None:
    done = subprocess.run(
        [sys.executable, "-m", "scale", "--list"], cwd=worker.ROOT, capture_output=True, text=True
    )
    assert done.returncode == 0
    assert [line.partition(":")[0] for line in done.stdout.splitlines()] == [test.name for test in TESTS]


def test_a_job_that_gives_nothing_breaks() -> None:
    with pytest.raises(BrokenRunError, match="no result"):
        worker.call("sys:exit")
