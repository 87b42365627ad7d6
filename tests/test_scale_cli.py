"""The command line of the scale tests: it rejects invalid options before any test runs.

The exit code and the report show exceeded budgets and failed runs. A quick run of
``state``, ``messages`` or ``cpu`` has slopes but no figures.
"""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest
from click.testing import CliRunner, Result

from scale import cli, regression
from scale.cli import ExitCode
from scale.model import Budget, Effort, Figure, Origin, ScaleTest, Size
from scale.model import Result as ScaleResult
from scale.registry import TESTS
from scale.worker import ROOT, Job, run_jobs

TINY = ("--limiters", "3", "--servers", "100", "--services", "4", "--tenants", "100", "--rate", "30",
        "--routes", "8", "--runs", "1", "--processes", "8")  # fmt: skip


def invoke(*words: str) -> Result:
    return CliRunner().invoke(cli.main, words)


def make_test(value: float, name: str = "made") -> ScaleTest:
    """Return a test whose result is one figure with a budget of 1."""
    result = ScaleResult([regression.line("cost", "B", "things", {1: [1], 2: [2], 3: [3], 4: [4]})])
    result.add_figure(Figure(f"{name} cost", "B", value, Origin.MEASURED, "made", 1.0))
    return ScaleTest(name, "made", lambda _size, _budget, _effort: result)


def make_broken_test(function: str) -> ScaleTest:
    def run(_size: Size, _budget: Budget, effort: Effort) -> ScaleResult:
        run_jobs([Job(function)] * 2, effort.processes)
        return ScaleResult()

    return ScaleTest("broken", "dies", run)


@pytest.fixture
def tests(monkeypatch: pytest.MonkeyPatch) -> list[ScaleTest]:
    listed: list[ScaleTest] = []
    monkeypatch.setattr(cli, "TESTS", listed)
    return listed


@pytest.mark.parametrize(
    ("words", "expected"),
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
def test_invalid_arguments_are_rejected_by_name_before_any_test_runs(
    words: tuple[str, ...], expected: str, tests: list[ScaleTest]
) -> None:
    calls = []
    tests.append(ScaleTest("made", "made", lambda *_: calls.append(1) or ScaleResult()))  # type: ignore[func-returns-value]
    done = invoke(*words)
    assert done.exit_code == ExitCode.BAD_INPUT
    assert expected in done.output
    assert not calls


@pytest.mark.parametrize(("value", "code", "verdict"), [(1.0, 0, "ok"), (1.01, 1, "OVER")])
def test_the_exit_code_is_non_zero_only_above_the_budget(
    value: float, code: int, verdict: str, tests: list[ScaleTest], tmp_path: Path
) -> None:
    tests.append(make_test(value))
    path = tmp_path / "results.json"
    done = invoke("--json", str(path))
    assert done.exit_code == code
    assert verdict in done.stdout
    written = json.loads(path.read_text())
    assert written["tests"]["made"]["figures"][0]["value"] == value
    assert written["tests"]["made"]["slopes"][0]["slope"] == pytest.approx(1.0)
    assert {"date", "commit", "python", "size", "effort", "budget", "broken"} <= set(written)


@pytest.mark.parametrize(
    ("function", "cause"),
    [("os:abort", "SIGABRT"), ("scale.memory.process:nosuch", "nosuch"), ("sys:exit", "no result")],
)  # fmt: skip
def test_a_failed_run_reports_its_cause_and_none_of_its_figures(
    function: str, cause: str, tests: list[ScaleTest], tmp_path: Path
) -> None:
    tests += [make_broken_test(function), make_test(0.5)]
    path = tmp_path / "results.json"
    done = invoke("--json", str(path))
    assert done.exit_code == ExitCode.RUN_FAILED
    assert cause in done.stderr
    assert "those of made are valid" in done.stderr
    assert "made cost" in done.stdout
    written = json.loads(path.read_text())
    assert list(written["tests"]) == ["made"]
    assert cause in written["broken"]["broken"]


@pytest.mark.parametrize(
    ("error", "code"), [(KeyError("x"), ExitCode.RUN_FAILED), (KeyboardInterrupt(), 130)]
)
def test_an_exception_does_not_give_the_exit_code_of_an_exceeded_budget(
    error: BaseException, code: int, tests: list[ScaleTest]
) -> None:
    def fail(*_: object) -> ScaleResult:
        raise error

    tests.append(ScaleTest("made", "made", fail))
    assert invoke().exit_code == code


def test_a_figure_that_is_not_finite_fails_its_test(tests: list[ScaleTest]) -> None:
    tests.append(make_test(float("nan")))
    done = invoke()
    assert done.exit_code == ExitCode.RUN_FAILED
    assert "made cost" not in done.stdout


def test_quick_runs_measure_slopes_without_figures(tmp_path: Path) -> None:
    path = tmp_path / "results.json"
    done = invoke("state", "messages", "cpu", "--quick", "--json", str(path), *TINY)
    assert done.exit_code == ExitCode.WITHIN_BUDGET, done.output
    written = json.loads(path.read_text())["tests"]
    assert {name: len(result["figures"]) for name, result in written.items()} == {
        "state": 0,
        "messages": 0,
        "cpu": 0,
    }
    for result in written.values():
        assert all(len(slope["points"]) >= 4 for slope in result["slopes"])


def test_the_command_lists_the_tests() -> None:
    done = subprocess.run(
        [sys.executable, "-m", "scale", "--list"], cwd=ROOT, capture_output=True, text=True, check=False
    )
    assert done.returncode == 0
    assert [line.partition(":")[0] for line in done.stdout.splitlines()] == [test.name for test in TESTS]
