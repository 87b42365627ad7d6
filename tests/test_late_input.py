"""``LateInput``: a change that arrived during a stall is handled before what relies on older state."""

from __future__ import annotations

import asyncio

import pytest

from quota_gateway import model
from quota_gateway.net.common.late_input import MAX_AGE_SECONDS, LateInput
from tests.loopback import (
    LoopbackLimiter,
    ScriptedDecisions,
    ScriptedEndpoint,
    async_test,
    running_server,
)
from tests.pool_harness import ENDPOINT, PoolHarness


class Source:
    """A source that counts how often it is read, with a clock that the test sets."""

    def __init__(self) -> None:
        self.now = 0.0
        self.reads = 0
        self.late_input = LateInput(lambda: self.now)
        self.late_input.add_source(self.read)

    def read(self) -> None:
        """Count a read; read the input again, as the handler of a change does."""
        self.reads += 1
        self.now += 2 * MAX_AGE_SECONDS
        self.late_input.read_if_due()


def test_sources_are_read_at_most_once_within_the_maximum_age_and_not_while_they_are_read() -> None:
    source = Source()
    source.late_input.read_if_due()
    source.now = MAX_AGE_SECONDS
    source.late_input.read_if_due()
    assert source.reads == 0
    source.now = 1.1 * MAX_AGE_SECONDS
    source.late_input.read_if_due()
    assert source.reads == 1


def test_an_error_in_one_source_does_not_skip_the_next_one(caplog: pytest.LogCaptureFixture) -> None:
    clock = [0.0]
    late_input = LateInput(lambda: clock[0])
    reads = list[str]()

    def fail() -> None:
        raise ValueError

    late_input.add_source(fail)
    late_input.add_source(lambda: reads.append("second source"))
    clock[0] = 1.0
    late_input.read_if_due()
    assert reads == ["second source"]
    assert "unexpected error while reading input" in caplog.text


@async_test
async def test_a_request_is_not_written_on_a_connection_that_came_up_after_a_drain_was_sent() -> None:
    """Guards against a late connect that crosses a drain, which is unread when the connection comes up."""
    endpoint = ScriptedEndpoint()
    clock = [0.0]
    late_input = LateInput(lambda: clock[0])
    async with (
        running_server(endpoint.handle_connection) as address,
        PoolHarness(address, late_input=late_input) as harness,
    ):
        late_input.add_source(lambda: harness.pool.update_endpoint(ENDPOINT, address, available=False))
        started = harness.start()
        clock[0] = 1.0  # the connection is not established yet: that takes an iteration of the event loop
        assert (await started.completed).status is model.CallStatus.NOT_SENT
        assert endpoint.requests == []


@async_test
async def test_the_decisions_handle_a_late_change_before_the_event_that_follows_it() -> None:
    """Guards against retries that rely on older state: each event reads the late input first."""
    loop = asyncio.get_running_loop()
    late_input = LateInput(loop.time)
    decisions = ScriptedDecisions(lambda _event: [])
    async with LoopbackLimiter(decisions, {}, late_input=late_input) as limiter:
        late_input.add_source(lambda: limiter.dispatcher.dispatch(model.ProcessCountChanged(2)))
        await asyncio.sleep(1.1 * MAX_AGE_SECONDS)
        decisions.events.clear()
        limiter.dispatcher.dispatch(model.UploadCompleted(1))
        kinds = [type(event) for event in decisions.events]
        assert kinds == [model.ProcessCountChanged, model.UploadCompleted]
