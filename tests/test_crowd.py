"""Idle clients fill the descriptors while discovery and the counter are away, on real sockets."""

from __future__ import annotations

import asyncio
import errno
import json
import os
import resource
import signal
import socket
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path

import pytest

from quota_gateway import model
from quota_gateway.net import listener
from tests.gateway_process import Program, config, free_port, started
from tests.loopback import Limiter, Origin, Script, ask, listening, read_message, run, send_on

LIST_WITHIN = 6.0  # seconds from discovery's return until its list counts as told
SOCKETS = 256  # the fewest that the terms name


def crowd(program: Program, number: int) -> list[socket.socket]:
    """So many clients that connect at once and ask nothing."""
    host, port = program._listen.split(":")
    clients = list[socket.socket]()
    for _ in range(number):
        client = socket.socket()
        client.setblocking(False)
        assert client.connect_ex((host, int(port))) in (0, errno.EINPROGRESS)
        clients.append(client)
    return clients


def test_idle_clients_at_the_limit_cost_neither_the_list_nor_the_counter_nor_a_request(
    tmp_path: Path,
) -> None:
    """Some twenty times the clients that there is room for; a few among them ask, and go on asking."""

    async def main() -> None:
        async def agent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            line = json.dumps(config(new)["known"] | {"seq": 42}).encode() + b"\n"
            head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            writer.write(head + b"%x\r\n%b\r\n" % (len(line), line))
            told.set()
            await reader.read()

        async def tally(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
            counted.set()
            await reader.read()

        async def served(client: socket.socket) -> None:
            reader, writer = await asyncio.open_connection(sock=client)
            assert " 200 " in (await read_message(reader))[0]
            writer.close()

        def sender() -> socket.socket:
            host, port = program._listen.split(":")
            client = socket.create_connection((host, int(port)))
            client.sendall(ask())
            return client

        def held() -> int:
            return len(os.listdir(f"/proc/{program.process.pid}/fd"))

        told, counted, clients = asyncio.Event(), asyncio.Event(), list[socket.socket]()
        old, after, ports = Origin(), Origin(), (free_port(), free_port())
        async with listening(old.talk) as dial, listening(after.talk) as new:
            raw = config(dial, f"127.0.0.1:{ports[0]}") | {"counter": f"127.0.0.1:{ports[1]}"}
            raw["limits"] = {"sockets": SOCKETS}
            raw["settings"] = raw["settings"] | {"specifics": {"has_counter": False, "count_wait_s": 0.05}}
            raw["settings"]["tariffs"] = [{"name": "basic", "quota_rate": 1e5, "store_size": 1e5}]
            async with started(raw, tmp_path) as program:
                resource.prlimit(program.process.pid, resource.RLIMIT_NOFILE, (SOCKETS, SOCKETS))
                program.process.send_signal(signal.SIGSTOP)  # they all wait when it looks again
                senders = list[socket.socket]()
                for _ in range(20):
                    clients += crowd(program, SOCKETS // 10)
                    senders.append(sender())
                program.process.send_signal(signal.SIGCONT)
                await asyncio.gather(*map(served, senders))
                most = 0
                for _ in range(10):
                    clients += crowd(program, SOCKETS // 5)
                    await asyncio.gather(*(served(sender()) for _ in range(4)))
                    most = max(most, held())
                servers = [
                    await asyncio.start_server(agent, "127.0.0.1", ports[0]),
                    await asyncio.start_server(tally, "127.0.0.1", ports[1]),
                ]
                back = asyncio.get_running_loop().time()
                while not (told.is_set() and counted.is_set() and after.seen):
                    clients += crowd(program, 5)
                    await served(sender())
                    most = max(most, held())
                    assert asyncio.get_running_loop().time() < back + LIST_WITHIN
                assert program.process.returncode is None and most < SOCKETS
                assert len(clients) > 5 * SOCKETS // 2
                for server in servers:
                    server.close()
                for client in clients:
                    client.close()

    run(main())


@contextmanager
def no_descriptor_left() -> Iterator[None]:
    """This process may open nothing more, as under a leak or a limit below the one configured."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    free = os.dup(0)  # the lowest number that is not in use
    os.close(free)
    resource.setrlimit(resource.RLIMIT_NOFILE, (free, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def test_a_lack_of_descriptors_here_says_nothing_of_the_server() -> None:
    async def main() -> None:
        script, origin = Script(lambda _event: []), Origin()
        async with listening(origin.talk) as dial, Limiter(script, {"s1": dial}) as limiter:
            reader, writer = await limiter.connect()
            writer.write(ask())
            (event,) = await script.until(model.Request)
            script.answer = lambda e: send_on(event) if isinstance(e, model.TimerFired) else send_on(e)
            with no_descriptor_left():
                limiter.dispatcher.dispatch(model.TimerFired(1))
                (outcome,) = await script.until(model.AttemptCompleted)
            assert outcome.status is model.CallStatus.NOT_SENT
            assert " 429 " in (await read_message(reader))[0]
            assert limiter.pool._open == 0
            script.answer = send_on
            assert " 200 " in (await limiter.fetch(ask()))[0]
            writer.close()

    run(main())


def test_clients_that_wait_when_the_listener_closes_outlast_a_lack_of_descriptors(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """What is in the accept queue is taken once there are descriptors again, and the end is no crash."""
    monkeypatch.setattr(listener, "ROOM", 10.0)  # a slow machine must not make it late

    async def main() -> None:
        script = Script(lambda e: [model.Reject(e.id, 0.1)] if isinstance(e, model.Request) else [])
        async with Limiter(script, {}) as limiter:
            clients = [socket.create_connection(limiter._address) for _ in range(3)]
            for client in clients:  # up, and sent, while this loop has not turned once
                client.sendall(ask())
            limiter.listener.start_draining()
            assert limiter.listener._server is not None
            server: asyncio.Server = limiter.listener._server
            lack, began = ExitStack(), asyncio.Event()

            class Listener:
                """The last descriptor goes in the step in which the listener closes."""

                sockets = server.sockets

                def close(self) -> None:
                    server.close()
                    lack.enter_context(no_descriptor_left())
                    began.set()

            limiter.listener._server = Listener()  # type: ignore[assignment]
            closing = asyncio.create_task(limiter.listener.close(1000))
            await began.wait()
            for _ in range(20):
                await asyncio.sleep(0)
            assert len(limiter.listener._clients) < len(clients)  # the loop had taken one before
            lack.close()
            for client in clients:
                reader, writer = await asyncio.open_connection(sock=client)
                assert " 429 " in (await read_message(reader))[0]
                writer.close()
            await closing

    run(main())
