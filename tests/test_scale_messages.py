"""The jobs of the scale test ``messages``: a job whose stand-in fails reports the error, not a timeout."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

import pytest

from scale.messages.counter_bytes import measure_counter_bytes
from scale.messages.counting_stand_in import CountingStandIn
from scale.messages.health_check_bytes import measure_health_check_bytes


def test_a_job_fails_with_the_error_of_its_stand_in(monkeypatch: pytest.MonkeyPatch) -> None:
    async def fail(*_: object) -> bytes:
        raise ValueError("cannot be read")

    monkeypatch.setattr(CountingStandIn, "read_until", fail)
    jobs: tuple[Callable[[], object], ...] = (
        partial(measure_counter_bytes, 21.0),
        measure_health_check_bytes,
    )
    for job in jobs:
        with pytest.raises(ConnectionError, match=r"stand-in failed.*cannot be read"):
            job()
