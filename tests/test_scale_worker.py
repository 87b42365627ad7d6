"""Jobs of the scale tests: a job whose process writes no result fails the run."""

from __future__ import annotations

import pytest

from scale.model import RunFailedError
from scale.worker import Job, run_job


def test_a_job_without_a_result_fails_the_run() -> None:
    with pytest.raises(RunFailedError, match="no result"):
        run_job(Job("sys:exit"))
