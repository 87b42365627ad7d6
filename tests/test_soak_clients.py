"""The soak test's clients: each request that they send to a scripted limiter gets an outcome."""

from __future__ import annotations

import asyncio
from collections import Counter
from itertools import count
from pathlib import Path
from random import Random

import pytest

from soak import cli
from soak.cli import ExitCode
from soak.client_connection import ConnectionPool
from soak.clients import LimiterClients
from soak.history import ClientBehaviour, History, RequestOutcome
from soak.request_factory import RequestFactory
from soak.scenario_runner import ScenarioRunner
from tests.loopback import OK_RESPONSE, async_test, read_message, running_server

RUN_SECONDS = 0.5
RESPONSES_PER_CONNECTION = 2


async def respond_slowly(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer each request 20 ms after it was read, one after the other."""
    while True:
        await read_message(reader)
        await asyncio.sleep(0.02)
        writer.write(OK_RESPONSE)


async def respond_and_reset(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Reset each connection after two responses, although the client may have sent more requests."""
    for _ in range(RESPONSES_PER_CONNECTION):
        await read_message(reader)
        writer.write(OK_RESPONSE)


def make_clients(address: str, history: History) -> LimiterClients:
    port = int(address.rpartition(":")[2])
    factory = RequestFactory(0, 1, history, Random(1), count(1))
    clients = LimiterClients(ConnectionPool(port), factory, history, Random(2))
    clients.scale_rate(10.0)
    clients.start_behaviour(ClientBehaviour.PIPELINING, 0.5)
    return clients


async def respond_once(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer only the first request of each connection, and leave the connection open."""
    await read_message(reader)
    writer.write(OK_RESPONSE)
    await reader.read()
    await asyncio.sleep(RUN_SECONDS)


async def send_traffic(clients: LimiterClients) -> None:
    traffic = asyncio.create_task(clients.run())
    await asyncio.sleep(RUN_SECONDS)
    traffic.cancel()
    await clients.finish()


@async_test
async def test_a_pipelining_client_keeps_its_connection_until_the_last_response() -> None:
    """Otherwise another request on the connection would read the responses of the pipelined ones."""
    history = History()
    async with running_server(respond_slowly) as address:
        await send_traffic(make_clients(address, history))
    assert history.runner_errors == []
    outcomes = {request.outcome for request in history.requests.values()}
    assert outcomes == {RequestOutcome.RESPONSE_RECEIVED}


@async_test
async def test_pipelined_requests_without_a_response_are_sent_again_after_a_reset() -> None:
    history = History()
    async with running_server(respond_and_reset) as address:
        await send_traffic(make_clients(address, history))
    assert history.runner_errors == []
    assert history.open_requests() == []
    pipelined = [each for each in history.requests.values() if each.behaviour is ClientBehaviour.PIPELINING]
    assert any(request.resent for request in pipelined)
    assert all(request.outcome is RequestOutcome.RESPONSE_RECEIVED for request in pipelined)


@async_test
async def test_a_pipelining_client_that_gives_up_does_not_resend_requests() -> None:
    """The client closed the connection itself, and the limiter may have executed the requests."""
    history = History()
    async with running_server(respond_once) as address:
        clients = make_clients(address, history)
        clients.start_behaviour(ClientBehaviour.PIPELINING, 1.0)
        await send_traffic(clients)
    outcomes = Counter(request.outcome for request in history.requests.values())
    assert outcomes[RequestOutcome.TIMED_OUT] == outcomes[RequestOutcome.DISCONNECTED] > 0
    assert not any(request.resent for request in history.requests.values())


@async_test
async def test_an_unexpected_error_of_a_client_is_recorded(monkeypatch: pytest.MonkeyPatch) -> None:
    history = History()

    async def fail(_self: ConnectionPool) -> None:
        raise RuntimeError("an error in the soak test")

    monkeypatch.setattr(ConnectionPool, "acquire", fail)
    async with running_server(respond_slowly) as address:
        await send_traffic(make_clients(address, history))
    assert "an error in the soak test" in history.runner_errors[0]


def test_a_failure_of_the_soak_test_has_its_own_exit_code(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    async def run(_self: ScenarioRunner) -> History:
        history = History()
        history.record_runner_error("a client failed", RuntimeError("cause"))
        return history

    monkeypatch.setattr(ScenarioRunner, "run", run)
    assert cli.main(["--seed", "1", "--keep", str(tmp_path)]) is ExitCode.SOAK_FAILURE
    assert "SOAK FAILURE: a client failed" in capsys.readouterr().out
