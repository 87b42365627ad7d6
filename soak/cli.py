"""Runs the soak test's scenario of one seed or of a range of seeds, and prints a verdict for each seed.

The exit code is 0 if no invariant was violated, 1 if one was, 2 if the run gave no verdict (invalid
arguments, a limiter that did not start, a port in use, no C compiler), and 3 if the soak test itself failed.
"""

from __future__ import annotations

import argparse
import asyncio
import re
import signal
import sys
import tempfile
import time
from collections import Counter
from enum import IntEnum
from pathlib import Path
from typing import NoReturn

import uvloop

from soak.checker import check_history
from soak.errors import SoakError
from soak.fault_control import build_library
from soak.fault_kinds import FAULT_SPECS, FIRST_VERSION, LATEST_VERSION
from soak.history import History
from soak.request_trace import format_trace
from soak.scenario import MIN_RUN_SECONDS, Scenario, make_scenario
from soak.scenario_runner import ScenarioRunner
from soak.violations import Invariant, Violation

MAX_LIMITERS = 60
MAX_RUN_SECONDS = 3600.0
MAX_PRINTED_TRACES = 6  # per seed; more if more invariants were violated
SEED_RANGE = re.compile(r"(\d{1,9})\.\.(\d{1,9})")


class ExitCode(IntEnum):
    """The exit codes of the command."""

    NO_VIOLATION = 0
    VIOLATION = 1
    NO_VERDICT = 2
    SOAK_FAILURE = 3


class _Parser(argparse.ArgumentParser):
    def error(self, message: str) -> NoReturn:
        raise SoakError(message)


def _parse_seeds(text: str) -> range:
    match = SEED_RANGE.fullmatch(text)
    if match is None or int(match[1]) > int(match[2]):
        raise argparse.ArgumentTypeError(
            f"invalid range of seeds {text!r}: expected FIRST..LAST, such as 1..50"
        )
    return range(int(match[1]), int(match[2]) + 1)


def _parse_arguments(arguments: list[str]) -> argparse.Namespace:
    parser = _Parser(prog="python -m soak", description=__doc__)
    parser.add_argument("--seed", type=int, help="run the scenario of this seed")
    parser.add_argument(
        "--seeds",
        type=_parse_seeds,
        help="run the scenarios of a range of seeds one after the other, such as 1..50",
    )
    parser.add_argument(
        "--seconds", type=float, default=20.0, help="duration of the traffic of each run, in seconds (20)"
    )
    parser.add_argument("--limiters", type=int, default=24, help="number of limiters (24)")
    parser.add_argument("--list", action="store_true", help="list the fault kinds and exit")
    parser.add_argument(
        "--scenario", action="store_true", help="print the scenario of each seed and exit without running it"
    )
    parser.add_argument(
        "--scenario-version",
        type=int,
        choices=range(FIRST_VERSION, LATEST_VERSION + 1),
        default=LATEST_VERSION,
        help=f"scenario version ({LATEST_VERSION}); version 1 has fewer fault kinds",
    )
    parser.add_argument("--keep", type=Path, help="keep the limiters' logs and files in this directory")
    options = parser.parse_args(arguments)
    if options.list:
        return options
    if (options.seed is None) == (options.seeds is None):
        raise SoakError("exactly one of --seed and --seeds is required")
    if not MIN_RUN_SECONDS <= options.seconds <= MAX_RUN_SECONDS:
        raise SoakError(f"--seconds must be from {MIN_RUN_SECONDS:.0f} to {MAX_RUN_SECONDS:.0f}")
    if not 1 <= options.limiters <= MAX_LIMITERS:
        raise SoakError(f"--limiters must be from 1 to {MAX_LIMITERS}")
    return options


def _list_faults() -> None:
    for kind, spec in sorted(FAULT_SPECS.items(), key=lambda item: (item[1].family.value, item[0])):
        print(f"{spec.family.value:9} {kind:31} {spec.description}")


async def _run(scenario: Scenario, directory: Path, library: Path) -> History:
    """Run a scenario. SIGTERM and SIGINT cancel the run, which also kills the limiters that it started."""
    task = asyncio.current_task()
    assert task is not None
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    return await ScenarioRunner(scenario, directory, library).run()


def _select_for_trace(violations: list[Violation]) -> list[Violation]:
    """Return the first violation of each invariant, and further ones up to ``MAX_PRINTED_TRACES``."""
    first_by_invariant = dict[Invariant, Violation]()
    for violation in violations:
        first_by_invariant.setdefault(violation.invariant, violation)
    selected = list(first_by_invariant.values())
    further = [violation for violation in violations if violation not in selected]
    return selected + further[: max(0, MAX_PRINTED_TRACES - len(selected))]


def _print_verdict(scenario: Scenario, history: History, violations: list[Violation], seconds: float) -> None:
    for error in history.runner_errors:
        print(f"SOAK FAILURE: {error}")
    for violation in _select_for_trace(violations):
        print(format_trace(history, violation))
    counts = Counter(violation.invariant.value for violation in violations)
    if history.runner_errors:
        counts["failures of the soak test"] = len(history.runner_errors)
    verdict = ", ".join(f"{name} {count}" for name, count in sorted(counts.items()))
    outcomes = Counter(request.outcome.value for request in history.requests.values())
    statuses = Counter(request.status for request in history.requests.values() if request.status)
    max_delay = max((delay.seconds for delay in history.runner_delays), default=0.0)
    print(
        f"seed {scenario.seed}: {verdict or 'no invariant violated'}; "
        f"{len(history.requests)} requests {dict(outcomes)}, "
        f"statuses {dict(statuses)}, {len(history.exits)} processes, "
        f"runner delayed by at most {max_delay:.3f} s, run took {seconds:.0f} s"
    )
    if history.excuses:
        used = ", ".join(f"{reason.value} {count}" for reason, count in history.excuses.most_common())
        print(f"  excuses: {used}")
    if violations:
        print(
            f"to reproduce: python -m soak --seed {scenario.seed} --seconds {scenario.seconds:g} "
            f"--limiters {scenario.limiter_count} --scenario-version {scenario.version}"
        )


def _make_scenario(seed: int, options: argparse.Namespace) -> Scenario:
    return make_scenario(seed, options.seconds, options.limiters, options.scenario_version)


def _run_seeds(options: argparse.Namespace) -> ExitCode:
    seeds = options.seeds or [options.seed]
    violating_seeds = list[int]()
    failed_seeds = list[int]()
    with tempfile.TemporaryDirectory(prefix="soak-") as scratch:
        library = build_library(Path(scratch))
        for seed in seeds:
            scenario = _make_scenario(seed, options)
            print(scenario.describe(), flush=True)
            directory = (options.keep or Path(scratch)) / f"seed-{seed}"
            directory.mkdir(parents=True)
            started_at = time.monotonic()
            history = uvloop.run(_run(scenario, directory, library))
            violations = check_history(history)
            _print_verdict(scenario, history, violations, time.monotonic() - started_at)
            if violations:
                violating_seeds.append(seed)
            if history.runner_errors:
                failed_seeds.append(seed)
            sys.stdout.flush()
    if len(seeds) > 1:
        print(
            f"{len(seeds)} seeds, {len(violating_seeds)} with violations: {violating_seeds}, "
            f"{len(failed_seeds)} in which the soak test itself failed: {failed_seeds}"
        )
    if failed_seeds:
        return ExitCode.SOAK_FAILURE
    return ExitCode.VIOLATION if violating_seeds else ExitCode.NO_VIOLATION


def main(arguments: list[str]) -> ExitCode:
    """Run the command and return its exit code."""
    try:
        options = _parse_arguments(arguments)
        if options.list:
            _list_faults()
            return ExitCode.NO_VIOLATION
        if options.scenario:
            for seed in options.seeds or [options.seed]:
                print(_make_scenario(seed, options).describe())
            return ExitCode.NO_VIOLATION
        return _run_seeds(options)
    except (SoakError, OSError) as error:
        print(f"soak: {error}", file=sys.stderr)
        return ExitCode.NO_VERDICT
    except (KeyboardInterrupt, asyncio.CancelledError):
        print("soak: interrupted", file=sys.stderr)
        return ExitCode.NO_VERDICT
