"""A server hangs in the middle of a long answer and then goes on: does its client get the whole answer?"""

from __future__ import annotations

import asyncio
import sys
from asyncio import StreamWriter
from dataclasses import dataclass
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from stand_ins import (  # noqa: E402
    BROKEN, HELD, HOST, CaseError, Request, Server, TruncatedAnswerError, World, answer_soundly, new_id,
    read_answer, request_bytes, run_case, warm_up,
)  # fmt: skip

ANSWER_BYTES = 4_000_000  # the page: up to 32 MB
ANSWER_SECONDS = 4.0  # "peers spend seconds reading or writing"
PIECES = 80
DOWNLOADS = 8
HANG_AFTER_SECONDS = 1.5
HANG_SECONDS = 17.0  # the page: 6.7 to 19 s, up to 19% of the servers; here one of nine
END_SECONDS = 10.0  # how long the clients wait beyond the hang


@dataclass
class Download:
    """One request with a long answer, as its client sees it."""

    request_id: str
    outcome: str = "still being received"
    is_whole: bool = False


class LongAnswers:
    """The servers' behaviour: offer-quote has a long answer, given evenly."""

    def __init__(self) -> None:
        self.serving: dict[str, Server] = {}  # by request id
        self.given: set[str] = set()  # requests whose answer a server has given completely

    async def answer(self, server: Server, request: Request, writer: StreamWriter) -> bool:
        """Answer, and return whether the connection stays."""
        if not request.target.startswith("/offer-quote"):
            return await answer_soundly(server, request, writer)
        record = server.world.record
        self.serving[request.request_id] = server
        writer.write(b"HTTP/1.1 200 OK\r\nX-Units-Charged: 1\r\nContent-Length: %d\r\n\r\n" % ANSWER_BYTES)
        for _ in range(PIECES):
            await server.running.wait()
            try:
                writer.write(b"a" * (ANSWER_BYTES // PIECES))
                await writer.drain()
            except OSError as error:
                record.write(f"{server.name}: connection lost within {request.request_id}: {error!r}")
                raise
            await asyncio.sleep(ANSWER_SECONDS / PIECES)
        self.given.add(request.request_id)
        record.write(f"{server.name} has given all of the answer to {request.request_id}")
        return True


async def run_download(world: World, download: Download, account: int) -> None:
    """Send the request and read its answer."""
    record = world.record
    limiter = world.limiters[account % len(world.limiters)]
    reader, writer = await asyncio.open_connection(HOST, limiter.port)
    record.write(f"client sends {download.request_id} to {limiter.name}")
    writer.write(request_bytes(download.request_id, "offer-quote", 3000, account=account))
    try:
        answer = await read_answer(reader, record)
        if answer is None:
            download.outcome = "connection closed without an answer"
        else:
            download.is_whole = answer.status == 200 and len(answer.body) == ANSWER_BYTES  # noqa: PLR2004
            download.outcome = f"status {answer.status}, {len(answer.body)} bytes, whole: {download.is_whole}"
    except TruncatedAnswerError as error:
        download.outcome = f"cut off: {error!r:.120}"
    finally:
        writer.close()
    record.write(f"{download.request_id}: {download.outcome}")


async def play(world: World, trouble: bool) -> int:  # noqa: FBT001
    """Run the case."""
    answers = LongAnswers()

    def prepare(prepared: World) -> None:
        for server in prepared.servers:
            server.behaviour = answers.answer

    await world.start(prepare)
    await warm_up(world, 4.0)
    record = world.record
    downloads = [Download(new_id()) for _ in range(DOWNLOADS)]
    tasks = [
        asyncio.create_task(run_download(world, download, 0x7000 + number))
        for number, download in enumerate(downloads)
    ]
    await asyncio.sleep(HANG_AFTER_SECONDS)
    if not answers.serving:
        raise CaseError("no server has begun a long answer")
    if trouble:
        hung = next(iter(answers.serving.values()))
        hung.running.clear()
        record.write(f"{hung.name} hangs")
        await asyncio.sleep(HANG_SECONDS)
        hung.running.set()
        record.write(f"{hung.name} goes on")
    await asyncio.wait(tasks, timeout=END_SECONDS)
    cut = [download for download in downloads if download.outcome.startswith("cut")]
    record.write(f"{len(downloads)} long answers, {len(cut)} cut off")
    return BROKEN if cut else HELD


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
