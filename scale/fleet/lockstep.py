"""Worker processes in lockstep: they exchange messages at the end of each window of virtual time."""

from __future__ import annotations

import traceback
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum
from multiprocessing import get_context
from multiprocessing.connection import Connection, wait
from multiprocessing.process import BaseProcess
from typing import Any, NamedTuple

from scale.model import RunFailedError

# Takes the outbox for each worker; returns the messages of all workers for this one.
Exchange = Callable[[list[list[Any]]], list[Any]]
# Takes the index of the worker, the number of workers, the exchange and the task; returns a picklable result.
Work = Callable[[int, int, Exchange, Any], Any]

_EXIT_TIMEOUT_SECONDS = 5.0  # longest wait for the exit of a worker that has closed its pipe


class PeerExitedError(Exception):
    """This worker cannot go on, because another worker has exited."""


class _Status(Enum):
    DONE = "done"
    PEER_EXITED = "peer exited"
    FAILED = "failed"


class _Outcome(NamedTuple):
    """How a worker ended; ``content`` is its result or the cause of the failure."""

    status: _Status
    content: Any


@dataclass(slots=True)
class _Worker:
    process: BaseProcess
    outcomes: Connection


def run_workers(
    work: Work, count: int, task: Any, on_started: Callable[[list[int]], None] = lambda _pids: None
) -> list[Any]:
    """Return the workers' results in order. Raise ``RunFailedError`` if a worker fails or exits.

    Each worker is a process of its own, which receives ``work`` and ``task`` pickled. ``on_started`` is
    called with the process ids after all workers have started.
    """
    workers = _start_workers(work, count, task)
    on_started([worker.process.pid or 0 for worker in workers])
    results = dict[int, Any]()
    causes = list[str]()
    try:
        for index, outcome in _outcomes(workers):
            if outcome.status is _Status.DONE:
                results[index] = outcome.content
            elif outcome.status is _Status.FAILED:
                causes.append(f"worker {index}: {outcome.content}")
        if len(results) < count:
            raise RunFailedError(
                "; ".join(causes) or "the workers lost their connections, and none reported the cause"
            )
    finally:
        for worker in workers:
            if worker.process.is_alive() and len(results) < count:
                worker.process.terminate()
            worker.process.join()
    return [results[index] for index in range(count)]


def _start_workers(work: Work, count: int, task: Any) -> list[_Worker]:
    context = get_context("spawn")
    links: list[dict[int, Connection]] = [{} for _ in range(count)]
    for one in range(count):
        for other in range(one + 1, count):
            links[one][other], links[other][one] = context.Pipe()
    workers = list[_Worker]()
    senders = list[Connection]()
    for index in range(count):
        receiver, sender = context.Pipe(duplex=False)
        arguments = (work, index, count, links[index], sender, task)
        workers.append(_Worker(context.Process(target=_run_worker, args=arguments, daemon=True), receiver))
        senders.append(sender)
    for worker in workers:
        worker.process.start()
    # Close this process's copies of the pipe ends: a reader notices that a worker has exited only when no
    # process has that worker's end open.
    for own_links in links:
        for link in own_links.values():
            link.close()
    for sender in senders:
        sender.close()
    return workers


def _outcomes(workers: list[_Worker]) -> Iterator[tuple[int, _Outcome]]:
    """Yield the index and the outcome of each worker as it ends."""
    waiting: dict[Any, int] = {worker.outcomes: index for index, worker in enumerate(workers)}
    while waiting:
        for ready in wait(list(waiting)):
            index = waiting.pop(ready)
            try:
                outcome = workers[index].outcomes.recv()
            except (EOFError, OSError):
                process = workers[index].process
                process.join(_EXIT_TIMEOUT_SECONDS)
                outcome = _Outcome(
                    _Status.FAILED, f"its process ended with exit code {process.exitcode} and sent no result"
                )
            yield index, outcome


def _run_worker(
    work: Work, index: int, count: int, links: dict[int, Connection], outcomes: Connection, task: Any
) -> None:
    try:
        outcome = _Outcome(_Status.DONE, work(index, count, _make_exchange(index, links), task))
    except PeerExitedError as error:
        outcome = _Outcome(_Status.PEER_EXITED, str(error))
    except BaseException:  # noqa: BLE001 - reported to the parent process, whatever it is
        outcome = _Outcome(_Status.FAILED, traceback.format_exc())
    outcomes.send(outcome)


def _make_exchange(index: int, links: dict[int, Connection]) -> Exchange:
    peers = sorted(links)

    def exchange(outboxes: list[list[Any]]) -> list[Any]:
        """Send to each peer and receive from it.

        The workers cannot deadlock: each takes its peers in the order of their index, and of two workers the
        one with the lower index sends first.
        """
        received = list[Any]()
        try:
            for peer in peers:
                if index < peer:
                    links[peer].send(outboxes[peer])
                    received += links[peer].recv()
                else:
                    inbox = links[peer].recv()
                    links[peer].send(outboxes[peer])
                    received += inbox
        except (EOFError, OSError) as error:
            raise PeerExitedError(f"connection to another worker lost: {error!r}") from None
        return received + outboxes[index]

    return exchange
