"""``InputScheduler``: connections with much input take turns."""

from __future__ import annotations

import asyncio
import time

from quota_gateway.net.client.input_scheduler import MAX_BACKLOG_SECONDS, MAX_READ_SECONDS, InputScheduler
from tests.loopback import async_test


class BusyConnection:
    """A connection whose backlog never ends; each slice takes a millisecond."""

    def __init__(self, scheduler: InputScheduler) -> None:
        self._scheduler = scheduler
        self.turns = 0

    def parse_backlog(self, until: float) -> None:
        """Parse one slice."""
        self.turns += 1
        time.sleep(0.001)
        self._scheduler.add(self.parse_backlog)


class NewConnection:
    """A connection with one slice of input."""

    def __init__(self, others: list[BusyConnection]) -> None:
        self._others = others
        self.turns_of_others: int | None = None  # until the slice was parsed

    def parse_backlog(self, until: float) -> None:
        """Parse the slice."""
        self.turns_of_others = sum(connection.turns for connection in self._others)


# Incident 706588: one connection at full speed was parsed for seconds before any other.
@async_test
async def test_connections_take_turns_for_a_limited_time_in_each_iteration() -> None:
    scheduler = InputScheduler()
    connections = [BusyConnection(scheduler) for _ in range(50)]
    for connection in connections:
        scheduler.add(connection.parse_backlog)
    for _ in range(20):
        started = time.perf_counter()
        await asyncio.sleep(0)
        assert time.perf_counter() - started < 20 * MAX_BACKLOG_SECONDS  # ample for a busy machine
    turns = [connection.turns for connection in connections]
    assert max(turns) - min(turns) <= 1
    assert sum(turns) < 20 * 50


# Soak seeds 955 and 985 (version 4): connections whose input is read all the time were parsed before others.
@async_test
async def test_a_connection_is_parsed_within_one_turn_of_the_others_although_they_go_on() -> None:
    scheduler = InputScheduler()
    others = [BusyConnection(scheduler) for _ in range(50)]
    for connection in others:
        scheduler.add(connection.parse_backlog)
    await asyncio.sleep(0)
    new = NewConnection(others)
    scheduler.add(new.parse_backlog)
    turns_before = sum(connection.turns for connection in others)
    while new.turns_of_others is None:
        await asyncio.sleep(0)
    assert new.turns_of_others - turns_before <= len(others)


@async_test
async def test_input_is_parsed_at_once_until_the_time_of_the_iteration_is_used_up() -> None:
    scheduler = InputScheduler()
    assert scheduler.burst_end() is not None
    time.sleep(2 * MAX_READ_SECONDS)
    assert scheduler.burst_end() is None
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    assert scheduler.burst_end() is not None
