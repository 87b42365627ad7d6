"""The admin address of a running limiter."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path

from tests.admin_client import call, figures
from tests.loopback import Origin, ask, listening, read_message, run
from tests.test_program import config, free_port, started


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
