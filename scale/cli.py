"""The command line: reads the options, runs the selected tests, and returns the exit code."""

from __future__ import annotations

import math
import os
from collections.abc import Sequence
from enum import IntEnum
from pathlib import Path
from typing import Any

import click

from scale.input_checks import check_sizes, machine_memory, reject_option
from scale.model import Budget, Effort, Result, RunFailedError, ScaleTest, Size
from scale.registry import TESTS
from scale.report import Outcome, json_report, print_outcome, write_json_atomically

DEFAULT = Size()


class ExitCode(IntEnum):
    """The exit codes of the command."""

    WITHIN_BUDGET = 0
    OVER_BUDGET = 1
    BAD_INPUT = 2  # the code of click
    RUN_FAILED = 3
    INTERRUPTED = 130  # the code of a shell after SIGINT


def measure(tests: Sequence[ScaleTest], size: Size, budget: Budget, effort: Effort) -> Outcome:
    """Run the tests one after the other. A failed test does not stop the others."""
    outcome = Outcome()
    for test in tests:
        click.echo(f"{test.name}: {test.about}", err=True)
        try:
            result = test.run(size, budget, effort)
        except RunFailedError as error:
            outcome.failures[test.name] = str(error)
        except KeyboardInterrupt:
            raise click.exceptions.Exit(ExitCode.INTERRUPTED) from None
        except Exception as error:  # noqa: BLE001 - an uncaught error would exit with 1, like an exceeded budget
            outcome.failures[test.name] = f"unexpected error in the test: {error!r}"
        else:
            _add_result(outcome, test.name, result)
    return outcome


def _add_result(outcome: Outcome, name: str, result: Result) -> None:
    not_finite = [figure.name for figure in result.figures if not math.isfinite(figure.value)]
    if not_finite:
        outcome.failures[name] = f"the figure '{not_finite[0]}' is not a finite number"
    else:
        outcome.results[name] = result


def select_tests(names: Sequence[str]) -> list[ScaleTest]:
    """Return the tests with these names, without duplicates; all tests if there are no names.

    Raise ``BadParameter`` for an unknown name.
    """
    known = {test.name: test for test in TESTS}
    for name in names:
        if name not in known:
            raise click.BadParameter(
                f"unknown test {name!r}; the tests are {', '.join(known)}", param_hint="'TEST'"
            )
    return [known[name] for name in dict.fromkeys(names)] or list(TESTS)


def exit_code(outcome: Outcome) -> ExitCode:
    """Return the exit code for the outcome of a run."""
    if outcome.failures:
        return ExitCode.RUN_FAILED
    if all(figure.passed for figure in outcome.figures):
        return ExitCode.WITHIN_BUDGET
    return ExitCode.OVER_BUDGET


@click.command(context_settings={"help_option_names": ["-h", "--help"]})
@click.argument("names", metavar="[TEST]...", nargs=-1)
@click.option("--limiters", type=int, default=DEFAULT.limiters, show_default=True)
@click.option("--servers", type=int, default=DEFAULT.servers, show_default=True)
@click.option("--services", type=int, default=DEFAULT.services, show_default=True)
@click.option("--routes", type=int, default=DEFAULT.routes, show_default=True)
@click.option("--tenants", type=int, default=DEFAULT.tenants, show_default=True)
@click.option("--rate", type=float, default=DEFAULT.rate, show_default=True, help="Requests/s of the fleet.")
@click.option(
    "--spread", type=int, default=DEFAULT.spread, show_default=True, help="Limiters that serve one tenant."
)
@click.option("--regions", type=int, default=DEFAULT.regions, show_default=True)
@click.option("--zones", type=int, default=DEFAULT.zones, show_default=True)
@click.option("--runs", type=click.IntRange(1, 1000), default=5, show_default=True, help="Runs at each size.")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--processes",
    type=click.IntRange(1, 256),
    default=4,
    show_default=True,
    help="Processes that run at the same time.",
)
@click.option("--quick", is_flag=True, help="Measure up to a tenth of the size; no figures.")
@click.option(
    "--json",
    "path",
    type=click.Path(dir_okay=False, path_type=Path),
    help="Write the results to a JSON file.",
)
@click.option("--list", "list_tests", is_flag=True, help="List the tests and exit.")
def main(
    *,
    names: tuple[str, ...],
    runs: int,
    seed: int,
    processes: int,
    quick: bool,
    path: Path | None,
    list_tests: bool,
    **sizes: Any,
) -> None:
    """Measure the limiter's cost in a fleet of the given size, and compare it with the budget.

    The exit code is 0 within the budget, 1 if a budget is exceeded, 2 for invalid input, 3 for a failed run.
    """
    if list_tests:
        for test in TESTS:
            click.echo(f"{test.name}: {test.about}")
        return
    tests = select_tests(names)
    size = Size(**sizes)
    effort = Effort(runs=runs, seed=seed, processes=processes, quick=quick)
    check_sizes(size, effort, tests, machine_memory())
    if path is not None and not (path.parent.is_dir() and os.access(path.parent, os.W_OK)):
        reject_option("json", f"the directory of {path} is not writable")
    click.get_current_context().exit(_run(tests, size, effort, path))


def _run(tests: Sequence[ScaleTest], size: Size, effort: Effort, path: Path | None) -> ExitCode:
    budget = Budget()
    outcome = measure(tests, size, budget, effort)
    print_outcome(outcome)
    if path is not None:
        try:
            write_json_atomically(path, json_report(size, budget, effort, outcome))
        except (OSError, ValueError) as error:
            click.echo(f"the results could not be written to {path}: {error}", err=True)
            return ExitCode.RUN_FAILED
    return exit_code(outcome)
