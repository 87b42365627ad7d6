"""Workers in lock-step: each hands messages to each other one after every window of virtual time."""

from __future__ import annotations

import traceback
from collections.abc import Callable
from multiprocessing import get_context
from multiprocessing.connection import Connection, wait
from typing import Any

from scale.model import BrokenRunError

Exchange = Callable[[list[list[Any]]], list[Any]]
Work = Callable[[int, int, Exchange, Any], Any]


class PeerLostError(Exception):
    """Another worker is gone: it, and not this one, is the cause."""


def _exchange(me: int, links: dict[int, Connection]) -> Exchange:
    others = sorted(links)

    def swap(outboxes: list[list[Any]]) -> list[Any]:
        got = list[Any]()
        try:
            # Pairs in one order at all workers, and in a pair the lower one speaks first: no ring of waits.
            for other in others:
                if me < other:
                    links[other].send(outboxes[other])
                    got += links[other].recv()
                else:
                    theirs = links[other].recv()
                    links[other].send(outboxes[other])
                    got += theirs
        except (EOFError, OSError) as error:
            raise PeerLostError(f"no worker at the other end: {error!r}") from None
        return got + outboxes[me]

    return swap


def _worker(
    work: Work, me: int, count: int, links: dict[int, Connection], result: Connection, task: Any
) -> None:
    try:
        answer = ("done", work(me, count, _exchange(me, links), task))
    except PeerLostError as error:
        answer = ("peer lost", str(error))
    except BaseException:
        answer = ("failed", traceback.format_exc())
    result.send(answer)


def run(
    work: Work, count: int, task: Any, started: Callable[[list[int]], None] = lambda _pids: None
) -> list[Any]:
    """The workers' results in order; ``BrokenRunError`` names the causes where some of them fail or die.

    ``work`` and ``task`` are pickled: each worker is a fresh process. ``started`` gets the process ids.
    """
    context = get_context("spawn")
    links: list[dict[int, Connection]] = [{} for _ in range(count)]
    for one in range(count):
        for other in range(one + 1, count):
            links[one][other], links[other][one] = context.Pipe()
    pipes = [context.Pipe(duplex=False) for _ in range(count)]
    workers = [
        context.Process(target=_worker, args=(work, i, count, links[i], pipes[i][1], task), daemon=True)
        for i in range(count)
    ]
    for worker in workers:
        worker.start()
    # Only the workers may hold these: an end that stays open here would hide the death of a worker.
    for own in links:
        for link in own.values():
            link.close()
    for _, sender in pipes:
        sender.close()
    started([worker.pid or 0 for worker in workers])
    answers, causes = dict[int, Any](), list[str]()
    by_pipe: dict[Any, int] = {pipes[i][0]: i for i in range(count)}
    try:
        while by_pipe:
            for ready in wait(list(by_pipe)):
                i = by_pipe.pop(ready)
                try:
                    kind, answer = pipes[i][0].recv()
                except (EOFError, OSError):
                    workers[i].join(5.0)
                    kind, answer = "failed", f"it died with exit code {workers[i].exitcode}"
                if kind == "done":
                    answers[i] = answer
                elif kind == "failed":
                    causes.append(f"worker {i}: {answer}")
        if len(answers) < count:
            raise BrokenRunError("; ".join(causes) or "the workers lost each other")
    finally:
        for worker in workers:
            if worker.is_alive() and len(answers) < count:
                worker.terminate()
            worker.join()
    return [answers[i] for i in range(count)]
