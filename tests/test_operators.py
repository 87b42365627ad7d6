"""What operators use: the second address, figures, servers out by hand, retuning, a new version beside."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

import pytest

from quota_gateway import model
from quota_gateway.__main__ import share_of
from quota_gateway.decisions.gateway import Gateway
from quota_gateway.decisions.quota import Account
from quota_gateway.net.process_group import BANS, ProcessGroup
from quota_gateway.settings import SettingsError, check_retuned, settings_from
from tests import world as w
from tests.loopback import Origin, ask, listening, read_message, run
from tests.test_program import WIRE_SETTINGS, Program, config, free_port, started


async def call(port: int, line: bytes, end: bytes = b"\n") -> str:
    """One call at the second address; retried while nobody listens there yet."""
    while True:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            break
        except ConnectionRefusedError:
            await asyncio.sleep(0.02)
    writer.write(line + end)
    if not end:
        writer.write_eof()
    answer = await reader.read()
    writer.close()
    return answer.decode()


def figures(text: str) -> dict[str, int]:
    lines = text.splitlines()
    assert lines[-1] == "EOT"
    return {name: int(value) for name, value in (line.split("=") for line in lines[:-1])}


def test_calls_at_the_second_address_are_answered_beside_stalled_callers(tmp_path: Path) -> None:
    async def main() -> None:
        port, origin = free_port(), Origin(lambda n: b"" if n == 2 else Origin().reply(n))
        async with (
            listening(origin.talk) as dial,
            started(config(dial), tmp_path, LB_MGMT=f"127.0.0.1:{port}", TMPDIR=str(tmp_path)) as program,
        ):
            await call(port, b"STATUS")
            stalled = [await asyncio.open_connection("127.0.0.1", port) for _ in range(40)]
            for _, writer in stalled:
                writer.write(b"STAT")
            assert await call(port, b"STATUS") == "SUCCESS\n" == await call(port, b"STATUS\r")
            assert await call(port, b"STATUS", end=b"") == "SUCCESS\n"
            bad = (
                b"",
                b"status",
                b"WHAT",
                b"SUSPEND",
                b"SUSPEND ",
                b"SUSPEND s1 s1",
                b"STATUS x",
                b"\xff" * 9,
            )
            for line in (*bad, b"SUSPEND nobody", b"RESTORE nobody", b"SUSPEND " + b"s" * 100_000):
                assert await call(port, line) == "FAILURE\n", line
            zero = figures(await call(port, b"METRICS"))
            assert zero["app.handled.lookup.passed"] == zero["app.upstream_tries"] == zero["app.loads"] == 0
            assert zero["app.known_servers"] == 1 and zero["app.skipped_servers"] == 0
            for _ in range(2):
                reader, writer = await program.connect()
                writer.write(ask())
                await read_message(reader)
            now = figures(await call(port, b"METRICS"))
            assert now["app.handled.lookup.passed"] == 2 and now["app.upstream_tries"] == 3
            assert now["app.in_progress"] == now["app.handled.lookup.dropped"] == 0
            assert await call(port, b"SUSPEND s1") == await call(port, b"SUSPEND s1") == "SUCCESS\n"
            assert figures(await call(port, b"METRICS"))["app.skipped_servers"] == 1
            reader, writer = await program.connect()
            writer.write(ask())
            assert " 429 " in (await read_message(reader))[0]
            assert figures(await call(port, b"METRICS"))["app.handled.lookup.dropped"] == 1
            assert await call(port, b"RESTORE s1") == "SUCCESS\n"

    run(main())


def test_a_ban_holds_whatever_the_list_says_until_the_call_back() -> None:
    world = w.World(w.settings())
    world.feed(w.servers("s0", "s1"))

    def ring(verb: model.AdminCommand, server: str) -> bool:
        *_, reply = world.feed(model.AdminRequest(1, verb, server))
        assert isinstance(reply, model.AdminReply)
        return reply.ok

    def used(first: int) -> set[str]:
        before = len(world.sends)
        for id in range(first, first + 40):
            world.feed(w.request(id))
            if id % 2:  # two at once, or one place would do
                world.serve()
            world.advance(world.now + 0.05)
        return {server for _, server, _ in world.sends[before:]}

    assert ring(model.AdminCommand.SUSPEND, "s0") and ring(model.AdminCommand.SUSPEND, "s0")
    assert used(0) == {"s1"}
    world.feed(w.servers("s1"))  # it goes from the list, restarts and comes back
    world.feed(w.servers("s0", "s1", born=world.now))
    assert used(100) == {"s1"}
    world.feed(model.EndpointUpdate((), True))
    world.advance(world.now + 3)
    assert ring(model.AdminCommand.RESTORE, "s0")  # nobody lists it, but it was out by hand
    assert not ring(model.AdminCommand.RESTORE, "s0") and not ring(model.AdminCommand.SUSPEND, "s7")
    world.feed(w.servers("s0", "s1"))
    assert used(200) == {"s0", "s1"}


def test_a_server_called_back_is_cold_and_forgiven() -> None:
    world = w.World(w.settings())
    world.feed(w.servers("s0", "s1"))
    world.feed(model.SuspensionsChanged(frozenset({"s0"})))
    server = world.gateway._servers["s0"]
    server.out_until, server.trial, server.lost = world.now + 60, True, True
    world.feed(model.SuspensionsChanged(frozenset()))
    assert server.cold_at == world.now and server.out_until <= world.now
    assert not server.trial and not server.lost


def test_a_server_out_by_hand_is_not_even_probed() -> None:
    world = w.World(w.settings())
    world.feed(w.servers("s0", "s1"))
    server = world.gateway._servers["s0"]
    for names, probes in ((set[str](), 1), ({"s0"}, 0)):
        server.lost = server.trial = True
        world.feed(model.SuspensionsChanged(frozenset(names)))
        actions = world.feed(model.TimerFired(world.gateway._timer))
        assert sum(isinstance(a, model.CheckHealth) for a in actions) == probes


def test_readiness_begins_with_a_list_and_ends_with_leaving() -> None:
    gateway = Gateway(w.settings(), 1, 0.0)

    def ready() -> bool:
        actions = gateway.handle(0.0, model.AdminRequest(1, model.AdminCommand.STATUS))
        return [a.ok for a in actions if isinstance(a, model.AdminReply)] == [True]

    assert not ready()
    gateway.handle(0.0, w.servers("s0"))
    assert ready()
    gateway.handle(0.0, model.ShutdownStarted())
    assert not ready()


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


def test_what_processes_share_outlives_one_and_survives_damage(tmp_path: Path) -> None:
    first = ProcessGroup(str(tmp_path), "n1")
    assert first.process_count == 1 and first.suspensions() == frozenset()
    code = "import sys; from quota_gateway.net.process_group import ProcessGroup; " \
        "s = ProcessGroup(sys.argv[1], 'n1'); " \
        "s.set_suspended('b', True); print(s.process_count, flush=True); sys.stdin.read()"  # fmt: skip
    first.set_suspended("a", True)
    other = subprocess.Popen(
        [sys.executable, "-c", code, str(tmp_path)], stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
    )
    assert other.stdout is not None and other.stdout.readline() == "2\n"
    assert first.process_count == 2 and first.suspensions() == {"a", "b"}
    other.kill()
    other.communicate()
    assert first.process_count == 1  # what a killed process left is stale, and is cleared away
    assert ProcessGroup(str(tmp_path), "n2").suspensions() == frozenset()
    folder = next(path.parent for path in tmp_path.rglob(BANS))
    for damage in (b"", b"{", b'{"out": 3}', b"[]", b"\xff", b'{"out": [1]}'):
        (folder / BANS).write_bytes(damage)
        assert first.suspensions() == {"a", "b"}
        fresh = ProcessGroup(str(tmp_path), "n1")
        assert fresh.suspensions() == frozenset()
        fresh.close()
    assert first.set_suspended("a", False) == {"b"} == first.suspensions()
    assert ProcessGroup(str(tmp_path / "missing"), "n1").set_suspended("x", True) == {
        "x"
    }  # alone, and it still works


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


def test_what_one_process_hands_over_is_read_once_and_damage_is_passed_over(tmp_path: Path) -> None:
    old, new = ProcessGroup(str(tmp_path), "n1"), ProcessGroup(str(tmp_path), "n1")
    notes = model.HandoverState(
        0.5, 0.1, 2.0, {"read": 0.04}, (model.EndpointHandover("s0", 1.5, None, 3, 1.0, 1.1, 0.2),),
        (model.AccountHandover("basic", "00000000b4d65521", 2, 3.0, 1.0, 0.5, 0.1, 7.0, None),),
    )  # fmt: skip
    old.write_handover(notes)
    old.write_handover(notes)
    assert new.read_handover() == notes and new.read_handover() is None and old.read_handover() is None
    (folder,) = (path for path in tmp_path.iterdir() if path.is_dir())
    for damage in (b"", b"[]", b"{}", b"\xff", b'{"servers": [], "accounts": [3], "bases": {}}'):
        (folder / f"notes-for-{new._own}").write_bytes(damage)
        assert new.read_handover() is None and not list(folder.glob("notes-for-*"))
    third = ProcessGroup(str(tmp_path), "n1")
    fourth = ProcessGroup(str(tmp_path), "n1")
    old.write_handover(notes)  # two have come: a part of a ceiling is for one
    assert third.read_handover() is None and fourth.read_handover() is None


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
                assert await call(ports[0], b"STATUS") == "SUCCESS\n"
                kept, kept_writer = await old.connect()
                kept_writer.write(ask())
                await taken.wait()
                assert await call(ports[0], b"SUSPEND s1") == "SUCCESS\n"
                async with beside(dial, ports[1]) as new:  # type: ignore[attr-defined]
                    while await call(ports[1], b"STATUS") != "SUCCESS\n":
                        pass
                    assert figures(await call(ports[1], b"METRICS"))["app.skipped_servers"] == 1
                    old.process.send_signal(signal.SIGTERM)
                    while await call(ports[0], b"STATUS") == "SUCCESS\n":
                        pass
                    assert await call(ports[1], b"RESTORE s1") == "SUCCESS\n"
                    release.set()
                    status, headers, body = await read_message(kept)
                    assert " 200 " in status and body == b"hi" and headers["connection"] == "close"
                    assert await old.process.wait() == 0
                    reader, writer = await new.connect()
                    writer.write(ask())
                    assert (await read_message(reader))[2] == b"hi"
                    assert await call(ports[1], b"STATUS") == "SUCCESS\n"

    run(main())


def test_requests_under_way_keep_their_class_and_attempts_drop_at_once() -> None:
    world = w.World(w.settings(max_attempts=3))
    world.feed(w.servers("s0", "s1", "s2"))
    world.feed(w.request(1))
    stricter = replace(w.SAFE, idempotency=model.Idempotency.NONE)
    fresh = model.RequestClass("fresh", 1.0, 1.0, model.Idempotency.INHERENT)
    world.feed(w.settings(max_attempts=3, classes=(stricter, fresh)))
    world.feed(w.request(2))
    world.feed(w.request(3, "fresh"))
    world.config = replace(world.config, classes=(stricter, fresh))
    sent = len(world.sends)
    server = {key[0]: value[0] for key, value in world.out.items()}
    world.feed(w.outcome(2, 0, server[2], model.CallStatus.RESET_AFTER_REQUEST))
    assert world.answered[2] == "failed" and len(world.sends) == sent  # unsafe now: it may have run
    world.config = replace(world.config, classes=(w.SAFE, fresh))
    world.feed(w.outcome(1, 0, server[1], model.CallStatus.ERROR))
    assert len(world.sends) == sent + 1  # it came as one that is safe to repeat
    world.feed(w.settings(max_attempts=1, classes=(stricter, fresh)))
    world.feed(w.outcome(3, 0, server[3], model.CallStatus.ERROR))
    assert world.answered[3] == "refused" and len(world.sends) == sent + 1


def cut(path: str) -> Callable[[dict[str, object]], None]:
    """Takes a key away, named with dots; a number is a place in a list."""

    def change(raw: dict[str, object]) -> None:
        *way, last = path.split(".")
        place: object = raw
        for step in way:
            place = place[int(step)] if isinstance(place, list) else place[step]  # type: ignore[index]
        del place[last]  # type: ignore[attr-defined]

    return change


RUNNING = json.dumps(
    WIRE_SETTINGS
    | {"classes": [WIRE_SETTINGS["classes"][0] | {"hard_limit_s": 6.0}], "contract": {"cold_from": 0.5}}
)


def put(name: str, value: object) -> Callable[[dict[str, object]], None]:
    def change(raw: dict[str, object]) -> None:
        where = raw["limits"] if name == "max_attempts" else raw["classes"][0]  # type: ignore[index]
        where[name] = value  # type: ignore[index]

    return change


@pytest.mark.parametrize(
    "change",
    [
        cut("classes"), cut("limits"), cut("contract"), cut("contract.cold_from"), cut("limits.max_attempts"),
        cut("tariffs.0.quota_rate"), cut("classes.0.hard_limit_s"), cut("classes.0.effect"), cut("me"),
        put("hard_limit_s", 0), put("hard_limit_s", -1.0), put("hard_limit_s", "6"), put("aim_s", None),
        put("max_attempts", 0), put("max_attempts", True), put("aim_s", -2), put("max_attempts", None),
        lambda raw: raw.update(classes=[]), lambda raw: raw.update(classes=[3]),
        lambda raw: raw.update(contract=7), lambda raw: raw.update(tariffs=None),
    ],
)  # fmt: skip
def test_settings_that_are_not_whole_are_turned_down(change: Callable[[dict[str, object]], None]) -> None:
    raw = json.loads(RUNNING)
    check_retuned(raw, json.loads(RUNNING))
    change(raw)
    with pytest.raises(SettingsError):
        check_retuned(raw, json.loads(RUNNING))
        Gateway.check(settings_from(raw))


def test_sighup_takes_new_classes_and_of_a_broken_file_nothing(tmp_path: Path) -> None:
    async def main() -> None:
        port = free_port()
        async with listening(Origin().talk) as dial:
            raw = config(dial) | {"settings": json.loads(RUNNING), "mgmt": f"127.0.0.1:{port}"}
            async with started(raw, tmp_path, TMPDIR=str(tmp_path)) as program:

                async def tell(new: object, **want: int) -> None:
                    (tmp_path / "config.json").write_text(new if isinstance(new, str) else json.dumps(new))
                    program.process.send_signal(signal.SIGHUP)
                    while True:
                        now = figures(await call(port, b"METRICS"))
                        if all(now[f"app.{name}"] == value for name, value in want.items()):
                            return

                async def status(kind: str) -> str:
                    reader, writer = await program.connect()
                    writer.write(ask(f"/{kind}?account=00000000b4d65521"))
                    return (await read_message(reader))[0]

                rows = json.loads(RUNNING)["classes"]
                more = [*rows, rows[0] | {"name": "fresh"}]
                broken = raw | {"settings": raw["settings"] | {"classes": [more[1] | {"aim_s": 0}]}}
                await tell("", load_errors=1)
                await tell(broken, load_errors=2)
                assert " 404 " in await status("fresh")
                await tell(raw | {"settings": raw["settings"] | {"classes": more}}, loads=1)
                assert " 200 " in await status("fresh") and " 200 " in await status("lookup")
                assert figures(await call(port, b"METRICS"))["app.handled.fresh.passed"] == 1
                await tell(broken, load_errors=3, loads=1)
                assert " 200 " in await status("lookup")

    run(main())


def test_nothing_of_this_is_there_without_a_second_address(tmp_path: Path) -> None:
    async def main() -> None:
        async with (
            listening(Origin().talk) as dial,
            started(config(dial), tmp_path, TMPDIR=str(tmp_path)) as program,
        ):
            assert " 200 " in await program.health()
            assert [path.name for path in tmp_path.iterdir()] == ["config.json"]

    assert "LB_MGMT" not in os.environ
    run(main())
