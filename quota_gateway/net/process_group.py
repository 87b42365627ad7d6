"""The processes of one limiter, and what they share in a folder of $TMPDIR.

Two run at once while a new version takes over from an old one. Each holds a lock on a file of its own; the
kernel releases the lock however the process ends, so that a stale file never passes for a running process.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import logging
import os
import secrets
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from quota_gateway import model
from quota_gateway.net.handover_codec import HandoverFormatError, decode_handover, encode_handover
from quota_gateway.net.shared_files import FileLock, replace_file
from quota_gateway.net.suspension_file import FILE_NAME as SUSPENSION_FILE_NAME
from quota_gateway.net.suspension_file import SuspensionFile

log = logging.getLogger(__name__)

POLL_INTERVAL = 0.1  # seconds: within a second a suspension must hold in the other process too
# The folder keeps the name of the earlier package: an old process and a new one meet in it during an upgrade.
FOLDER_PREFIX = "cypresspulley-"
FOLDER_MODE = 0o700  # for the owner alone
MAX_ENCODED_NAME = 64  # characters of the limiter's name in the folder's, encoded in hexadecimal
PROCESS_FILE_PREFIX = "process-"
PROCESS_TOKEN_BYTES = 4  # random, since process numbers are used again
HANDOVER_FILE_PREFIX = "notes-for-"  # followed by the process file of the one that is to read it
MAX_HANDOVER_SIZE = 4 * 1024 * 1024  # bytes that are read
HANDOVER_RETRY_TIME = 5.0  # seconds in which a handover that could not be written is tried again
ACCEPTING_FILE_PREFIX = "accepting-"  # followed by the process file of one that accepts clients
UNKNOWN_PROCESS = "unknown"  # stands for a process that may run and cannot be seen
LATE_POLL = 0.3  # seconds without a poll after which this process has stood still
# With these no process can ever have a folder there, so that this one is alone.
PERMANENT_ERRORS = frozenset(
    (errno.ENOENT, errno.ENOTDIR, errno.EROFS, errno.EACCES, errno.EPERM, errno.ELOOP)
)

OnChange = Callable[[int, frozenset[str], float], None]
OnHandover = Callable[[model.HandoverState], None]


@dataclass(frozen=True, slots=True)
class PendingHandover:
    """A handover that is not written yet."""

    successor: str  # process file
    state: model.HandoverState
    made_at: float  # seconds of the monotonic clock


class ProcessGroup:
    """This process's membership in the group. Without a folder that can ever be written it is alone.

    The folder may fail for a while. An error is no news: a process that cannot be looked at counts as
    running, and what could not be written is written later, by ``watch``.
    """

    def __init__(self, folder: str | None, name: str, clock_offset: float = 0.0) -> None:
        """``folder`` is $TMPDIR, or None for a process that shares nothing; ``name`` is the limiter's.

        ``clock_offset`` is this process's Unix time less its monotonic time.
        """
        self._clock_offset = clock_offset
        self._process_file = self._new_process_file()
        self._folder: Path | None = None
        self._liveness_lock: FileLock | None = None
        self._accepting_lock: FileLock | None = None
        self._is_accepting = False
        self._running = list[str]()  # process files of the others, as they were seen last
        if folder is not None:
            # By name: where several limiters are given one folder, their suspensions must not mix.
            self._folder = Path(folder) / f"{FOLDER_PREFIX}{name.encode().hex()[:MAX_ENCODED_NAME]}"
            self._join()
        self._suspension_file = SuspensionFile(self._folder, self._process_file)
        self._notified_process_count = 1
        self._notified_suspensions = frozenset[str]()
        self._successors = set[str]()  # process files of those that were left a handover state
        self._pending_handover: PendingHandover | None = None
        self._is_handover_read = False  # and its file could not be removed
        self._poll_timer: asyncio.TimerHandle | None = None
        self._polled_at = 0.0  # seconds of the event loop's clock; 0 before the first poll
        self._seconds_unknown = 0.0  # between the last two polls
        self._on_change: OnChange | None = None
        self._on_handover: OnHandover | None = None

    @staticmethod
    def _new_process_file() -> str:
        return f"{PROCESS_FILE_PREFIX}{os.getpid()}-{secrets.token_hex(PROCESS_TOKEN_BYTES)}"

    def _join(self) -> None:
        """Lock the process file; if the folder fails for now that is tried again by ``watch``."""
        if self._folder is None or self._liveness_lock is not None:
            return
        try:
            self._folder.mkdir(mode=FOLDER_MODE, exist_ok=True)
            self._liveness_lock = self._lock_process_file(self._folder)
            self._announce()
        except OSError as error:
            if error.errno in PERMANENT_ERRORS:
                log.error("nothing can be shared with another process: %s", error)
                self._folder = None
            elif not self._running:
                log.warning("cannot join the other processes yet: %s", error)
                self._running = [UNKNOWN_PROCESS]  # there may be one

    def _lock_process_file(self, folder: Path) -> FileLock:
        while True:
            path = folder / self._process_file
            lock = FileLock(path)
            if lock.acquired and path.exists():
                return lock
            lock.close()  # another process took the file for a stale one before it was locked
            self._process_file = self._new_process_file()

    def count_processes(self) -> int:
        """How many processes of this limiter run, with this one; one that cannot be looked at counts."""
        return 1 + len(self._other_processes())

    def _other_processes(self) -> list[str]:
        """The process files of the others that run; the files of those that ended are deleted."""
        if self._folder is None:
            return []
        try:
            files = [path for path in self._folder.iterdir() if path.name.startswith(PROCESS_FILE_PREFIX)]
        except FileNotFoundError:
            files = []
        except OSError as error:
            log.warning("cannot look for another process: %s", error)
            return self._running
        others = [path for path in files if path.name != self._process_file]
        self._running = [path.name for path in others if self._is_running(path)]
        if self._liveness_lock is None and not self._running:
            self._running = [UNKNOWN_PROCESS]  # one that could not join either cannot be seen
        return self._running

    def _is_running(self, path: Path) -> bool:
        """Whether a process holds its file; the files of one that has ended are deleted."""
        try:
            with FileLock(path) as lock:
                if not lock.acquired:
                    return True
                assert self._folder is not None
                for leftover in _files_of(self._folder, path.name):
                    leftover.unlink(missing_ok=True)
                return False
        except OSError as error:
            log.warning("cannot look at another process: %s", error)
            return True

    @staticmethod
    def _handover_path(folder: Path, process_file: str) -> Path:
        return folder / f"{HANDOVER_FILE_PREFIX}{process_file}"

    # Who accepts clients

    def announce_accepting(self) -> None:
        """Let the others know that this process accepts clients, until ``withdraw_accepting``."""
        self._is_accepting = True
        try:
            self._announce()
        except OSError as error:
            log.warning("cannot announce yet that clients are accepted: %s", error)

    def _announce(self) -> None:
        if self._is_accepting and self._accepting_lock is None and self._liveness_lock is not None:
            assert self._folder is not None
            self._accepting_lock = FileLock(self._folder / f"{ACCEPTING_FILE_PREFIX}{self._process_file}")

    def withdraw_accepting(self) -> None:
        """This process is about to accept no more."""
        self._is_accepting = False
        if self._accepting_lock is not None and self._folder is not None:
            with contextlib.suppress(OSError):
                (self._folder / f"{ACCEPTING_FILE_PREFIX}{self._process_file}").unlink(missing_ok=True)
            self._accepting_lock.close()
        self._accepting_lock = None

    def has_accepting_peer(self) -> bool:
        """Whether another process surely accepts clients: one that is starting or ending does not."""
        return any(self._accepts(process) for process in self._other_processes())

    def _accepts(self, process: str) -> bool:
        assert self._folder is not None
        path = self._folder / f"{ACCEPTING_FILE_PREFIX}{process}"
        try:
            if not path.exists():
                return False
            with FileLock(path) as lock:
                return not lock.acquired
        except OSError:
            return False

    # Handover

    def write_handover(self, state: model.HandoverState) -> None:
        """Leave the state for the process that has joined; nothing where none has, or more than one.

        A part of a ceiling may go to one process alone, and only once. A write that fails is tried again.
        """
        joined = [process for process in self._other_processes() if process not in self._successors]
        if self._folder is None or len(joined) != 1 or joined[0] == UNKNOWN_PROCESS:
            return
        self._successors.add(joined[0])
        self._pending_handover = PendingHandover(joined[0], state, time.monotonic())
        self._write_pending_handover()

    def _write_pending_handover(self) -> None:
        pending = self._pending_handover
        if pending is None or self._folder is None:
            return
        temporary = self._folder / f"{HANDOVER_FILE_PREFIX}{self._process_file}.new"
        try:
            text = encode_handover(pending.state, self._clock_offset)
            replace_file(self._handover_path(self._folder, pending.successor), text, temporary=temporary)
            self._pending_handover = None
        except OSError as error:
            log.warning("the handover state could not be written: %s", error)
            if time.monotonic() - pending.made_at > HANDOVER_RETRY_TIME:
                self._pending_handover = None  # the other process takes none any more

    def read_handover(self) -> model.HandoverState | None:
        """The state that another process has left for this one; None where there is none or malformed.

        It is read once: a part of a ceiling must not be taken twice.
        """
        if self._folder is None or self._is_handover_read:
            return None
        path = self._handover_path(self._folder, self._process_file)
        try:
            with path.open("rb") as file:
                data = file.read(MAX_HANDOVER_SIZE)
        except FileNotFoundError:
            return None
        except OSError as error:
            log.warning("the handover state of another process cannot be read yet: %s", error)
            return None
        try:
            path.unlink()
        except OSError:
            self._is_handover_read = True
        try:
            return decode_handover(data, self._clock_offset)
        except HandoverFormatError as error:
            log.warning("the handover state of another process is malformed: %s", error)
            return None

    # Suspensions

    def read_suspensions(self) -> frozenset[str]:
        """The endpoints that operators have suspended; a malformed file changes nothing."""
        return self._suspension_file.read()

    @property
    def knows_suspensions(self) -> bool:
        """Whether the suspensions of earlier processes could be read, or there are none."""
        return self._suspension_file.is_known

    @property
    def suspensions_saved(self) -> bool:
        """Whether all commands so far are recorded for the other processes."""
        return self._suspension_file.is_saved

    def set_suspended(self, endpoint: str, suspended: bool) -> frozenset[str]:
        """Suspend or restore an endpoint for all processes, and return those that are suspended then."""
        return self._suspension_file.update(endpoint, suspended)

    # Polling

    def watch(self, on_change: OnChange, on_handover: OnHandover) -> None:
        """Poll from now on, until ``close``.

        ``on_change`` is called with the number of processes, the suspended endpoints and the seconds since
        they were looked at before, when one of the former changes; ``on_handover`` with the state that
        another process has left for this one.
        """
        self._on_change = on_change
        self._on_handover = on_handover
        self._poll()

    def poll_if_late(self) -> None:
        """Poll if that is overdue: this process stood still, and another one may have started meanwhile."""
        if self._poll_timer is not None and self._folder is not None:
            late = asyncio.get_running_loop().time() - self._polled_at
            if late > LATE_POLL:
                self._poll()

    def _poll(self) -> None:
        """Poll, now and every ``POLL_INTERVAL``, whatever an error here does."""
        loop = asyncio.get_running_loop()
        if self._poll_timer is not None:
            self._poll_timer.cancel()
        self._poll_timer = loop.call_later(POLL_INTERVAL, self._poll)
        now = loop.time()
        self._seconds_unknown = now - self._polled_at if self._polled_at else 0.0
        self._polled_at = now
        for step in (self._join, self._suspension_file.save, self._notify_changes, self._take_handover):
            try:
                step()
            except Exception:
                log.exception("a poll of the other processes failed")
        self._write_pending_handover()

    def _notify_changes(self) -> None:
        process_count = self.count_processes()
        suspensions = self.read_suspensions()
        if process_count == self._notified_process_count and suspensions == self._notified_suspensions:
            return
        self._notified_process_count = process_count
        self._notified_suspensions = suspensions
        if self._on_change is not None:
            self._on_change(process_count, suspensions, self._seconds_unknown)

    def _take_handover(self) -> None:
        state = self.read_handover()
        if state is not None and self._on_handover is not None:
            self._on_handover(state)

    def close(self) -> None:
        """Stop polling and leave the group."""
        if self._poll_timer is not None:
            self._poll_timer.cancel()
            self._poll_timer = None
        self.withdraw_accepting()
        if self._folder is not None and self._liveness_lock is not None:
            with contextlib.suppress(OSError):
                (self._folder / self._process_file).unlink(missing_ok=True)
            self._liveness_lock.close()
            self._liveness_lock = None


def _files_of(folder: Path, process_file: str) -> tuple[Path, ...]:
    """All files that a process may have left, half-written ones included; its own file last."""
    return (
        folder / f"{ACCEPTING_FILE_PREFIX}{process_file}",
        folder / f"{HANDOVER_FILE_PREFIX}{process_file}",
        folder / f"{HANDOVER_FILE_PREFIX}{process_file}.new",
        folder / f"{SUSPENSION_FILE_NAME}.{process_file}",
        folder / process_file,
    )
