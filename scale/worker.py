"""Runs each job in its own process, so that memory and caches of one job do not affect another.

``python -m scale.worker MODULE:FUNCTION`` reads keyword arguments as JSON and writes the result as JSON.
"""

from __future__ import annotations

import importlib
import json
import signal
import subprocess
import sys
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

from scale.model import RunFailedError

ROOT = Path(__file__).resolve().parent.parent  # root of the checkout, working directory of all processes
JOB_TIMEOUT_SECONDS = 3600.0  # only a job that hangs takes longer


@dataclass(frozen=True, slots=True)
class Job:
    """A call in a process of its own; arguments and result are transferred as JSON."""

    function: str  # "module:function"
    arguments: dict[str, Any] = field(default_factory=dict)


def run_job(job: Job) -> Any:
    """Run a job; return its result, a dataclass as a dict. Raise ``RunFailedError`` if the job fails."""
    command = [sys.executable, "-m", "scale.worker", job.function]
    arguments = json.dumps(job.arguments)
    try:
        completed = subprocess.run(
            command,
            input=arguments,
            capture_output=True,
            text=True,
            cwd=ROOT,
            timeout=JOB_TIMEOUT_SECONDS,
            check=False,
        )
    except subprocess.TimeoutExpired:
        raise RunFailedError(f"{job.function} did not finish within {JOB_TIMEOUT_SECONDS:.0f} s") from None
    except OSError as error:
        raise RunFailedError(f"{job.function} could not be started: {error}") from None
    return _parse_result(job, completed)


def _parse_result(job: Job, completed: subprocess.CompletedProcess[str]) -> Any:
    if completed.returncode < 0:
        raise RunFailedError(f"{job.function} was killed by {signal.Signals(-completed.returncode).name}")
    if completed.returncode:
        last_line = (completed.stderr.strip().splitlines() or ["nothing on standard error"])[-1]
        raise RunFailedError(f"{job.function} exited with code {completed.returncode}: {last_line:.200}")
    try:
        return json.loads(completed.stdout)
    except ValueError:
        raise RunFailedError(f"{job.function} wrote no result in JSON: {completed.stdout!r:.80}") from None


def run_jobs(jobs: Sequence[Job], processes: int) -> list[Any]:
    """Return the results in the order of the jobs, of which ``processes`` run at a time.

    Raise the error of the first job that fails.
    """
    with ThreadPoolExecutor(max_workers=max(1, processes)) as pool:
        futures = [pool.submit(run_job, job) for job in jobs]
        try:
            return [future.result() for future in futures]
        except BaseException:  # also for an interrupt; otherwise all queued jobs would still run
            pool.shutdown(wait=True, cancel_futures=True)
            raise


def main() -> None:
    """Run the job that the command line names."""
    module, _, name = sys.argv[1].partition(":")
    function = getattr(importlib.import_module(module), name)
    json.dump(function(**json.load(sys.stdin)), sys.stdout, default=asdict)


if __name__ == "__main__":
    main()
