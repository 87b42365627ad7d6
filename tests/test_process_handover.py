"""Two processes of one limiter, while a new version takes over from an old one."""

from __future__ import annotations

import asyncio
import signal
import socket
from pathlib import Path

import pytest

from quota_gateway import model
from quota_gateway.__main__ import share_of
from quota_gateway.decisions.gateway import Gateway
from quota_gateway.decisions.quota import Account
from tests import world as w
from tests.admin_client import parse_metrics, send_command
from tests.loopback import ask, listening, read_message, run
from tests.test_program import Program, config, free_port, started


def test_two_processes_of_a_limiter_keep_the_ceiling_together() -> None:
    plan = model.Plan("capped", 1.0, 300.0, 900.0, ceiling_rate=4.0, ceiling_burst=12.0)
    config = w.settings(plans=(plan,))
    worlds = [w.World(config, i) for i in range(3)]
    for world in worlds:
        world.feed(w.servers("s0", "s1", "s2", "s3"))
    store, now, sent = 12.0, 100.0, 0
    for step in range(1200):
        now += 0.05
        store = min(12.0, store + 4.0 * 0.05)
        if step == 200:  # a second process of the first gateway begins, and later the old one ends
            worlds.append(w.World(config, 9, now))
            worlds[-1].feed(w.servers("s0", "s1", "s2", "s3"))
            worlds[-1].feed(model.ProcessCountChanged(2))
            (hand,) = [
                a for a in worlds[0].feed(model.ProcessCountChanged(2)) if isinstance(a, model.HandOver)
            ]
            for _ in range(2):  # told again it changes nothing
                worlds[-1].feed(hand.state)
        if step == 800:
            worlds[0] = worlds.pop()
            worlds[0].feed(model.ProcessCountChanged(1))
        for index, world in enumerate(worlds):
            world.advance(now)
            world.serve()
            if 170 < step < 200:
                continue  # the stores of the ceiling are half full when the second process comes
            world.answer_counts(model.CallStatus.UNREACHABLE)
            before = len(world.sends)
            for id in range(9):
                world.feed(w.request(40 * step + 10 * index + id, "read", "capped", "acct", 3.0, 0.25))
            store -= 0.25 * (len(world.sends) - before)
            sent += len(world.sends) - before
        assert store >= -1e-6, "the ceiling was passed"
    assert sent > 150


@pytest.mark.parametrize("sockets", [256, 384, 1024])
def test_two_processes_share_the_descriptors_and_keep_room_for_usual_clients(sockets: int) -> None:
    (clients, servers), alone = share_of(sockets, 2), share_of(sockets, 1)
    assert 2 * (clients + servers) + 2 * 20 <= sockets and sum(alone) + 40 <= sockets
    assert clients * 2 > sockets / 3 and servers >= 32


def test_what_is_left_of_a_ceiling_is_split_and_never_copied() -> None:
    plan = model.Plan("capped", 1.0, 3.0, 9.0, ceiling_rate=4.0, ceiling_burst=12.0)
    asked = model.Request(1, "read", "capped", 1.0, "acct", serving_gateways=3)
    old = Account(100.0, asked, plan, 0.0, 4.0)
    new = Account(100.0, asked, plan, 100.0, 4.0, 2)
    old.ceiling = 2.0
    note = model.AccountHandover("capped", "acct", 3, 9.0, 3.0, old.split(2), 0.0, 100.0, None)
    new.take(100.0, note)
    assert old.ceiling == new.ceiling == 1.0
    assert old.split(1) == 0.0 and old.ceiling == 1.0


def test_a_new_process_takes_over_what_the_old_one_has_learnt() -> None:
    old, new = w.World(w.settings()), w.World(w.settings(), 2)
    for world in (old, new):
        world.feed(w.servers("s0", "s1"))
    for id in range(100):
        old.feed(w.request(id, plan="small"))
        old.advance(old.now + 0.05)
        old.serve()
        old.answer_counts()
    old.feed(model.AdminRequest(1, model.AdminCommand.SUSPEND, "s1"))
    old.feed(
        model.AdminRequest(2, model.AdminCommand.RESTORE, "s1")
    )  # it may be cold, and the list does not say so
    new.now = old.now
    new.gateway = Gateway(w.settings(), 3, old.now)
    new.feed(w.servers("s0", "s1"))
    new.feed(model.ProcessCountChanged(2))
    (hand,) = [a for a in old.feed(model.ProcessCountChanged(2)) if isinstance(a, model.HandOver)]
    new.feed(hand.state)
    one, two = old.gateway, new.gateway
    assert two._servers["s1"].cold_at == old.now and two._done_rate == one._done_rate > 0
    (before,), (after,) = one._accounts.values(), two._accounts.values()
    assert after.total == before.total is not None and after.name == before.name
    assert after.level == pytest.approx(before.level + before.pending)
    assert two._sum is None  # the controller begins fresh


@pytest.mark.parametrize("handed", [True, False])
def test_a_new_version_takes_over_the_door_and_the_bans(handed: bool, tmp_path: Path) -> None:
    async def main() -> None:
        release, taken = asyncio.Event(), asyncio.Event()

        async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                await read_message(reader)
                taken.set()
                await release.wait()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")

        ports = free_port(), free_port()
        with socket.create_server(("127.0.0.1", 0)) as door:
            host, port = door.getsockname()
            env = {"TMPDIR": str(tmp_path)} | ({"LB_LISTEN_FD": str(door.fileno())} if handed else {})
            if not handed:
                door.close()

            def beside(dial: str, mgmt: int) -> object:
                raw = config(dial) | {"listen": f"{host}:{port}", "mgmt": f"127.0.0.1:{mgmt}"}
                (tmp_path / str(mgmt)).mkdir()
                return started(raw, tmp_path / str(mgmt), (door.fileno(),) if handed else (), **env)

            async with listening(talk) as dial, beside(dial, ports[0]) as old:  # type: ignore[attr-defined]
                assert isinstance(old, Program)
                assert await send_command(ports[0], b"STATUS") == "SUCCESS\n"
                kept, kept_writer = await old.connect()
                kept_writer.write(ask())
                await taken.wait()
                assert await send_command(ports[0], b"SUSPEND s1") == "SUCCESS\n"
                async with beside(dial, ports[1]) as new:  # type: ignore[attr-defined]
                    while await send_command(ports[1], b"STATUS") != "SUCCESS\n":
                        pass
                    assert parse_metrics(await send_command(ports[1], b"METRICS"))["app.skipped_servers"] == 1
                    old.process.send_signal(signal.SIGTERM)
                    while await send_command(ports[0], b"STATUS") == "SUCCESS\n":
                        pass
                    assert await send_command(ports[1], b"RESTORE s1") == "SUCCESS\n"
                    release.set()
                    status, headers, body = await read_message(kept)
                    assert " 200 " in status and body == b"hi" and headers["connection"] == "close"
                    assert await old.process.wait() == 0
                    reader, writer = await new.connect()
                    writer.write(ask())
                    assert (await read_message(reader))[2] == b"hi"
                    assert await send_command(ports[1], b"STATUS") == "SUCCESS\n"

    run(main())
