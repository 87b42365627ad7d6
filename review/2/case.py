"""A limiter is told to end while it passes on long answers, which end before any SIGKILL: are they whole?"""

from __future__ import annotations

import asyncio
import signal
import sys
from dataclasses import dataclass
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from stand_ins import (  # noqa: E402
    BROKEN, HELD, HOST, Request, Server, TruncatedAnswerError, World, answer_soundly, new_id, read_answer,
    request_bytes, run_case, warm_up,
)  # fmt: skip
from asyncio import StreamWriter  # noqa: E402

ANSWER_BYTES = 4_000_000  # the page: up to 32 MB
# SIGKILL arrives no earlier than the longest deadline of the settings (3 s) plus 0.7 s after SIGTERM.
EARLIEST_KILL_SECONDS = 3.7
KILL_SECONDS = 8.0
BEFORE_SIGTERM_SECONDS = 1.0
# When the servers have given the last byte, in seconds after SIGTERM. Only the first group is judged: its
# answers end before the earliest SIGKILL. The second group is recorded.
JUDGED_ENDS = (1.0, 2.0, 3.0, 3.62, 3.62, 3.62)
RECORDED_ENDS = (5.0, 5.0)
PIECES_PER_SECOND = 20.0


@dataclass
class Download:
    """One request with a long answer, as its client sees it."""

    request_id: str
    ends_after: float
    outcome: str = "still being received"
    is_whole: bool = False


class LongAnswers:
    """The servers' behaviour: offer-quote has a long answer, given evenly until its end."""

    def __init__(self) -> None:
        self.ends_at: dict[str, float] = {}  # by request id, in seconds of the record

    async def answer(self, server: Server, request: Request, writer: StreamWriter) -> bool:
        """Answer, and return whether the connection stays."""
        ends_at = self.ends_at.get(request.request_id)
        if ends_at is None:
            return await answer_soundly(server, request, writer)
        record = server.world.record
        writer.write(b"HTTP/1.1 200 OK\r\nX-Units-Charged: 1\r\nContent-Length: %d\r\n\r\n" % ANSWER_BYTES)
        began_at = record.now()
        sent = 0
        while sent < ANSWER_BYTES:
            fraction = min(1.0, (record.now() - began_at) / (ends_at - began_at))
            piece = max(1, int(ANSWER_BYTES * fraction)) - sent
            writer.write(b"a" * piece)
            await writer.drain()
            sent += piece
            wait = min(1 / PIECES_PER_SECOND, max(0.0, ends_at - record.now()))
            await asyncio.sleep(wait + 0.001)
        record.write(f"{server.name} has given all of the answer to {request.request_id}")
        return True


async def run_download(world: World, download: Download, account: int) -> None:
    """Send the request and read its answer."""
    record = world.record
    reader, writer = await asyncio.open_connection(HOST, world.limiters[0].port)
    record.write(f"client sends {download.request_id}, whose answer ends {download.ends_after:.2f} s after SIGTERM")
    writer.write(request_bytes(download.request_id, "offer-quote", 3000, account=account))
    try:
        answer = await read_answer(reader, record)
        if answer is None:
            download.outcome = "connection closed without an answer"
        else:
            download.is_whole = len(answer.body) == ANSWER_BYTES
            download.outcome = f"status {answer.status}, {len(answer.body)} bytes, whole: {download.is_whole}"
    except (TruncatedAnswerError, OSError) as error:
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
    limiter = world.limiters[0]
    told_at = record.now() + BEFORE_SIGTERM_SECONDS
    downloads = [Download(new_id(), seconds) for seconds in (*JUDGED_ENDS, *RECORDED_ENDS)]
    for download in downloads:
        answers.ends_at[download.request_id] = told_at + download.ends_after
    tasks = [
        asyncio.create_task(run_download(world, download, 0x7000 + number))
        for number, download in enumerate(downloads)
    ]
    await asyncio.sleep(told_at - record.now())
    if trouble:
        limiter.send_signal(signal.SIGTERM)
    has_ended = False
    while record.now() < told_at + KILL_SECONDS and not all(task.done() for task in tasks):
        await asyncio.sleep(0.01)
        if limiter.has_ended() and not has_ended:
            has_ended = True
            record.write(f"the limiter has ended by itself {record.now() - told_at:.2f} s after SIGTERM")
    for _ in range(50):  # the connections end just before the process does
        if trouble and not limiter.has_ended() and record.now() < told_at + KILL_SECONDS:
            await asyncio.sleep(0.01)
    if trouble and limiter.has_ended() and not has_ended:
        record.write(f"the limiter has ended by itself {record.now() - told_at:.2f} s after SIGTERM")
    if trouble and not limiter.has_ended():
        limiter.send_signal(signal.SIGKILL)
    await asyncio.wait(tasks, timeout=2.0)
    cut = [download for download in downloads if not download.is_whole and download.outcome.startswith("cut")]
    judged = [download for download in cut if download.ends_after < EARLIEST_KILL_SECONDS]
    record.write(f"{len(downloads)} long answers, {len(cut)} cut off, {len(judged)} of these end before any SIGKILL")
    return BROKEN if judged else HELD


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
