"""New settings for a running limiter."""

from __future__ import annotations

import json
import signal
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

import pytest

from quota_gateway import model
from quota_gateway.decisions.gateway import Gateway
from quota_gateway.settings import SettingsError, check_retuned, settings_from
from tests import world as w
from tests.admin_client import parse_metrics, send_command
from tests.loopback import Origin, ask, listening, read_message, run
from tests.test_program import WIRE_SETTINGS, config, free_port, started


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
                        now = parse_metrics(await send_command(port, b"METRICS"))
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
                assert parse_metrics(await send_command(port, b"METRICS"))["app.handled.fresh.passed"] == 1
                await tell(broken, load_errors=3, loads=1)
                assert " 200 " in await status("lookup")

    run(main())
