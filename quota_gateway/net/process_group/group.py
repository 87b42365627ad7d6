"""The processes of one limiter, and the state that they share in a directory below $TMPDIR.

Two processes run at once while a new version takes over from an old one.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from quota_gateway import model
from quota_gateway.net.common.executed_ids import ExecutedIds
from quota_gateway.net.process_group.accepting_file import AcceptingFile, is_accepting
from quota_gateway.net.process_group.executed_ids_file import ExecutedIdsFile
from quota_gateway.net.process_group.handover_files import HandoverFiles
from quota_gateway.net.process_group.membership import UNKNOWN_PROCESS, Membership
from quota_gateway.net.process_group.suspension_file import SuspensionFile

log = logging.getLogger(__name__)

POLL_INTERVAL_SECONDS = 0.1  # a suspension must be in force in the other process within 1 s
LATE_POLL_SECONDS = 0.3  # time without a poll that counts as a stall of this process
# Part of the format on disk: the old and the new process share this directory during an upgrade.
DIRECTORY_PREFIX = "cypresspulley-"
MAX_ENCODED_NAME_LENGTH = 64  # hexadecimal digits of the limiter's name in the directory name


class GroupChange(NamedTuple):
    """The state of the group after the number of processes or the suspensions have changed."""

    process_count: int
    suspended_endpoints: frozenset[str]
    seconds_since_poll: float  # time since the previous poll; the change happened within this time


OnChange = Callable[[GroupChange], None]
OnHandover = Callable[[model.HandoverState], None]


class ProcessGroup:
    """The files that this process shares with the other processes of its limiter.

    Without a shared directory, this process counts as the only one of its limiter. If the directory is
    temporarily unavailable, a later poll writes what could not be written.
    """

    def __init__(self, directory: str | None, name: str, clock_offset: float = 0.0) -> None:
        """Join the group of the limiter ``name`` in ``directory``, or share nothing if it is None.

        ``clock_offset`` is this process's Unix time minus its monotonic time, in seconds.
        """
        self._membership = Membership(None if directory is None else _group_directory(directory, name))
        self._accepting = AcceptingFile()
        self._handover = HandoverFiles(clock_offset)
        self._executed_ids_file = ExecutedIdsFile()
        self._suspension_file = SuspensionFile(self._membership.directory, self._membership.process_file)
        self._reported_process_count = 1
        self._reported_suspensions = frozenset[str]()
        self._poll_timer: asyncio.TimerHandle | None = None
        self._polled_at = 0.0  # seconds of the event loop's clock; 0 before the first poll
        self._seconds_between_polls = 0.0  # time between the last two polls; 0 before the second poll
        self._on_change: OnChange | None = None
        self._on_handover: OnHandover | None = None

    @property
    def process_file(self) -> str:
        """The name of this process's file in the shared directory."""
        return self._membership.process_file

    def count_processes(self) -> int:
        """Return the number of running processes, including this one."""
        return self._membership.count_processes()

    # Executed requests

    @property
    def executed_ids(self) -> ExecutedIds:
        """The ids of requests that the processes of this limiter may have had executed."""
        return self._executed_ids_file.ids

    def _share_executed_ids(self) -> None:
        membership = self._membership
        if membership.directory is not None and membership.is_joined:
            self._executed_ids_file.share(membership.directory, membership.process_file)
            self._executed_ids_file.find_peers(membership.directory, membership.other_processes())

    # Accepting clients

    def announce_accepting(self) -> None:
        """Announce that this process accepts clients, until ``withdraw_accepting`` is called."""
        self._accepting.request()
        self._announce()

    def _announce(self) -> None:
        membership = self._membership
        if membership.directory is not None and membership.is_joined:
            self._accepting.write(membership.directory, membership.process_file)

    def withdraw_accepting(self) -> None:
        """Withdraw the announcement; to be called before the process stops accepting clients."""
        self._accepting.withdraw(self._membership.directory, self._membership.process_file)

    def has_accepting_peer(self) -> bool:
        """Whether another process is known to accept clients; a starting or draining process does not."""
        directory = self._membership.directory
        return directory is not None and any(
            is_accepting(directory, process) for process in self._membership.other_processes()
        )

    # Handover

    def write_handover(self, state: model.HandoverState) -> None:
        """Write the state for the one process that has joined since the last handover.

        Nothing is written if no process has joined, or more than one: the handed-over part of a ceiling may
        be used by a single process, and only once. A failed write is retried.
        """
        directory = self._membership.directory
        successor = self._handover.new_successor(self._membership.other_processes())
        if directory is not None and successor is not None and successor != UNKNOWN_PROCESS:
            self._handover.hand_over(directory, self._membership.process_file, successor, state)

    def read_handover(self) -> model.HandoverState | None:
        """Return the state that another process has handed over; None if it is missing or malformed."""
        directory = self._membership.directory
        return None if directory is None else self._handover.read(directory, self._membership.process_file)

    # Suspensions

    def read_suspensions(self) -> frozenset[str]:
        """Return the endpoints that operators have suspended; a malformed file leaves them unchanged."""
        return self._suspension_file.read()

    @property
    def suspensions_loaded(self) -> bool:
        """Whether the suspension file has been read, or is missing or malformed; true without a directory."""
        return self._suspension_file.is_loaded

    @property
    def suspensions_saved(self) -> bool:
        """Whether all suspensions and restorations so far are recorded for the other processes."""
        return self._suspension_file.is_saved

    def set_suspended(self, endpoint: str, *, suspended: bool) -> frozenset[str]:
        """Suspend or restore an endpoint in all processes; return the endpoints that are now suspended."""
        return self._suspension_file.update(endpoint, suspended=suspended)

    # Polling

    def start_polling(self, on_change: OnChange, on_handover: OnHandover) -> None:
        """Poll the shared directory from now on, until ``close``.

        ``on_change`` is called when the number of processes or the suspended endpoints change, and
        ``on_handover`` is called with the state that another process has written for this one.
        """
        self._on_change = on_change
        self._on_handover = on_handover
        self._poll()

    def poll_if_late(self) -> None:
        """Poll if this process was stalled: another process may have started meanwhile."""
        if self._poll_timer is not None and self._membership.directory is not None:
            seconds_since_poll = asyncio.get_running_loop().time() - self._polled_at
            if seconds_since_poll > LATE_POLL_SECONDS:
                self._poll()

    def _poll(self) -> None:
        """Poll now and every ``POLL_INTERVAL_SECONDS``; an error in one step does not skip the others."""
        loop = asyncio.get_running_loop()
        if self._poll_timer is not None:
            self._poll_timer.cancel()
        self._poll_timer = loop.call_later(POLL_INTERVAL_SECONDS, self._poll)
        now = loop.time()
        self._seconds_between_polls = now - self._polled_at if self._polled_at else 0.0
        self._polled_at = now
        steps = (
            self._membership.join,
            self._share_executed_ids,
            self._announce,
            self._suspension_file.save,
            self._report_changes,
            self._take_over,
            self._write_pending_handover,
        )
        for step in steps:
            try:
                step()
            except Exception:
                log.exception("a step of the poll of the shared directory failed, the other steps still run")

    def _write_pending_handover(self) -> None:
        if self._membership.directory is not None:
            self._handover.write_pending(self._membership.directory, self._membership.process_file)

    def _report_changes(self) -> None:
        process_count = self.count_processes()
        suspensions = self.read_suspensions()
        if process_count == self._reported_process_count and suspensions == self._reported_suspensions:
            return
        self._reported_process_count = process_count
        self._reported_suspensions = suspensions
        if self._on_change is not None:
            self._on_change(GroupChange(process_count, suspensions, self._seconds_between_polls))

    def _take_over(self) -> None:
        state = self.read_handover()
        if state is not None and self._on_handover is not None:
            self._on_handover(state)

    def close(self) -> None:
        """Stop polling, and end the membership in the group."""
        if self._poll_timer is not None:
            self._poll_timer.cancel()
            self._poll_timer = None
        self.withdraw_accepting()
        self._membership.leave()


def _group_directory(parent: str, name: str) -> Path:
    """Return the directory of one limiter: limiters that share $TMPDIR must not share suspensions."""
    return Path(parent) / f"{DIRECTORY_PREFIX}{name.encode().hex()[:MAX_ENCODED_NAME_LENGTH]}"
