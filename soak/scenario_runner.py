"""Runs a scenario: starts the environment, injects the faults during the traffic, and shuts down."""

from __future__ import annotations

import asyncio
import gc
import time
from pathlib import Path
from typing import Any

from soak.environment import Environment
from soak.errors import SoakError
from soak.fault_injector import FaultInjector
from soak.history import ALL_LIMITERS, History, LimiterState, RunnerDelay, Span
from soak.scenario import Fault, Scenario

DELAY_CHECK_SECONDS = 0.02
MIN_RECORDED_DELAY_SECONDS = 0.03
SETTLE_SECONDS = 2.5  # from the end of the traffic until the metrics are read


class ScenarioRunner:
    """Runs one scenario; an instance is used once."""

    def __init__(self, scenario: Scenario, directory: Path, library: Path) -> None:
        """Keep logs and files in ``directory``, and load the fault library into the limiters."""
        self._scenario = scenario
        self._history = History()
        self._environment = Environment(scenario, directory, library, self._history)
        self._injector = FaultInjector(self._environment)

    async def run(self) -> History:
        """Run the scenario and return its history. Raise ``SoakError`` if it cannot be run."""
        asyncio.get_running_loop().set_exception_handler(self._record_error)
        delay_monitor = asyncio.create_task(self._monitor_delays())
        try:
            await self._environment.start()
            await self._run_traffic()
            await self._finish()
        except OSError as error:
            raise SoakError(f"the run was aborted by an OS error: {error}") from error
        finally:
            delay_monitor.cancel()
            await self._environment.close()
        self._record_open_requests()
        return self._history

    def _record_error(self, _loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        self._history.record_runner_error(context["message"], context.get("exception"))

    def _record_open_requests(self) -> None:
        gc.collect()  # makes asyncio report the exceptions of tasks that nobody awaited
        for request in self._history.open_requests():
            self._history.record_runner_error(
                f"request {request.id} ({request.behaviour}) is still open after the run", None
            )

    async def _run_traffic(self) -> None:
        started_at = self._history.start_traffic()
        clients = self._environment.clients
        traffic = [asyncio.create_task(limiter_clients.run()) for limiter_clients in clients]
        faults = [asyncio.create_task(self._inject(started_at, fault)) for fault in self._scenario.faults]
        try:
            await asyncio.sleep(self._scenario.seconds)
            await asyncio.gather(*faults)
        finally:
            for task in (*traffic, *faults):
                task.cancel()
        await asyncio.gather(*(limiter_clients.finish() for limiter_clients in clients))

    async def _inject(self, started_at: float, fault: Fault) -> None:
        await asyncio.sleep(max(0.0, started_at + fault.start - time.monotonic()))
        await self._injector.inject(fault)

    async def _finish(self) -> None:
        """Record the metrics of the limiters that ran as a single process, and terminate all limiters."""
        await asyncio.sleep(SETTLE_SECONDS)
        limiters = self._environment.limiters
        for limiter in limiters:
            metrics = await limiter.metrics()
            if metrics and not limiter.was_restarted:
                self._history.metrics[limiter.index] = metrics
        await asyncio.gather(*(limiter.terminate_all() for limiter in limiters))

    async def _monitor_delays(self) -> None:
        """Record delays of the runner's own event loop: times recorded during a delay are inexact."""
        while True:
            due = time.monotonic() + DELAY_CHECK_SECONDS
            await asyncio.sleep(DELAY_CHECK_SECONDS)
            delay = time.monotonic() - due
            if delay > MIN_RECORDED_DELAY_SECONDS:
                self._history.runner_delays.append(RunnerDelay(time.monotonic(), delay))
                self._history.spans.append(Span(LimiterState.RUNNER_LATE, ALL_LIMITERS, due, due + delay))
