"""The clients: they send each request at its scheduled time, without waiting for earlier responses."""

from __future__ import annotations

import asyncio
import time
from collections import defaultdict
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from random import Random

from scale.http_client import HttpClient, Response, encode_request
from scale.latency.cells import Case
from scale.latency.workload import CLIENT_TIMEOUT_SECONDS, plan_of, poisson_schedule, tenants_per_limiter
from scale.model import RunFailedError, Size
from scale.stand_ins.timers import PreciseTimers

LEAD_SECONDS = 0.02  # time to draw the schedules before the run starts
SETTLE_SECONDS = 0.4  # wait for the last responses of a run
POLL_SECONDS = 0.02  # interval between two checks for missing responses
SEED_SHIFT = 24  # runs with different seeds have different request ids


@dataclass(slots=True)
class RunMeasurements:
    """The measurements in one run of a case; times in seconds."""

    added: list[float] = field(default_factory=list)  # added latency of each served request
    # The values of ``added`` for requests on new and on reused connections to endpoints.
    added_on_new: list[float] = field(default_factory=list)
    added_on_reused: list[float] = field(default_factory=list)
    rejections: list[float] = field(default_factory=list)  # time from the schedule to the rejection
    send_delays: list[float] = field(default_factory=list)  # time from the schedule to the sending
    rejected_by_plan: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    failed: int = 0  # requests that were neither served nor rejected
    pending: int = 0  # requests without a response
    # Fraction of the run in which a process waited for a core, summed over the processes.
    core_wait: float = 0.0

    def expect_response(self) -> None:
        """Count a scheduled request, whose response is pending from now on."""
        self.pending += 1

    def record_core_wait(self, fraction: float) -> None:
        """Record the fraction of the run in which processes waited for a core, summed over them."""
        self.core_wait = fraction

    def record(self, plan: str, due: float, response: Response) -> None:
        """Record the response to a request that was scheduled for ``due``."""
        self.pending -= 1
        elapsed = response.received_at - due
        if response.is_served:
            added = elapsed - response.service_time
            self.added.append(added)
            (self.added_on_new if response.on_new_connection else self.added_on_reused).append(added)
        elif response.is_rejected:
            self.rejections.append(elapsed)
            self.rejected_by_plan[plan] += 1
        else:
            self.failed += 1


class LoadGenerator:
    """Sends the scheduled requests of a case to its limiters."""

    def __init__(self, clients: list[HttpClient], case: Case, size: Size, seed: int) -> None:
        """``clients`` has one client for each limiter; ``seed`` draws the schedules."""
        self._clients = clients
        self._case = case
        self._size = size
        self._rng = Random(seed)
        self._timers = PreciseTimers()
        self._ids = count(seed << SEED_SHIFT)

    def close(self) -> None:
        """Cancel the requests that have not been sent."""
        self._timers.close()

    async def run(self, seconds: float) -> RunMeasurements:
        """Send requests for a time and wait for the responses. Raise ``RunFailedError`` if one is missing."""
        measurements = RunMeasurements()
        start = time.monotonic() + LEAD_SECONDS
        for number, client in enumerate(self._clients):
            self._schedule(measurements, number, client, start, seconds)
        await asyncio.sleep(start - time.monotonic() + seconds + SETTLE_SECONDS)
        deadline = time.monotonic() + CLIENT_TIMEOUT_SECONDS
        while measurements.pending and time.monotonic() < deadline:
            await asyncio.sleep(POLL_SECONDS)
        if measurements.pending:
            raise RunFailedError(
                f"{self._case.name}: {measurements.pending} requests got no response "
                f"within {CLIENT_TIMEOUT_SECONDS} s"
            )
        return measurements

    def _schedule(
        self, measurements: RunMeasurements, number: int, client: HttpClient, start: float, seconds: float
    ) -> None:
        tenants = tenants_per_limiter(self._size)
        for arrival in poisson_schedule(self._rng, self._case.rate, seconds, tenants):
            plan = plan_of(arrival.tenant, tenants)
            request = encode_request(
                request_id=f"{number:04x}{next(self._ids):012x}",
                path=f"/read?account={arrival.tenant:016x}",
                plan=plan,
                timeout=CLIENT_TIMEOUT_SECONDS,
                serving_gateways=self._size.spread,
            )
            due = start + arrival.at
            measurements.expect_response()
            self._timers.call_at(due, partial(_send, measurements, client, due, request, plan))


def _send(measurements: RunMeasurements, client: HttpClient, due: float, request: bytes, plan: str) -> None:
    measurements.send_delays.append(time.monotonic() - due)
    client.send(request, partial(measurements.record, plan, due))
