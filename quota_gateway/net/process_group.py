"""The processes of one limiter, and what they share in a folder of $TMPDIR.

Two run at once while a new version takes over from an old one. Each holds a lock on a file of its own; the
kernel releases the lock however the process ends, so that a stale file never passes for a running process.
"""

from __future__ import annotations

import asyncio
import logging
import os
import secrets
from collections.abc import Callable
from pathlib import Path

from quota_gateway import model
from quota_gateway.net.handover_codec import HandoverFormatError, decode_handover, encode_handover
from quota_gateway.net.shared_files import FileLock, replace_file
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


class ProcessGroup:
    """This process's membership in the group. Without a folder that can be written it is alone."""

    def __init__(self, folder: str | None, name: str, clock_offset: float = 0.0) -> None:
        """``folder`` is $TMPDIR, or None for a process that shares nothing; ``name`` is the limiter's.

        ``clock_offset`` is this process's Unix time less its monotonic time.
        """
        self._clock_offset = clock_offset
        self._folder: Path | None = None
        self._process_file = ""
        self._liveness_lock: FileLock | None = None
        if folder is not None:
            self._join(Path(folder), name)
        self._suspension_file = SuspensionFile(self._folder, self._process_file)
        self._notified_process_count = 1
        self._notified_suspensions = frozenset[str]()
        self._successors = set[str]()  # process files of those that were left a handover state
        self._poll_timer: asyncio.TimerHandle | None = None

    def _join(self, parent: Path, name: str) -> None:
        # By name: where several limiters are given one folder, their suspensions must not mix.
        folder = parent / f"{FOLDER_PREFIX}{name.encode().hex()[:MAX_ENCODED_NAME]}"
        try:
            folder.mkdir(mode=FOLDER_MODE, exist_ok=True)
            self._liveness_lock = self._lock_process_file(folder)
            self._folder = folder
        except OSError as error:
            log.error("nothing can be shared with another process: %s", error)

    def _lock_process_file(self, folder: Path) -> FileLock:
        while True:
            self._process_file = (
                f"{PROCESS_FILE_PREFIX}{os.getpid()}-{secrets.token_hex(PROCESS_TOKEN_BYTES)}"
            )
            path = folder / self._process_file
            lock = FileLock(path, blocking=False)
            if lock.acquired and path.exists():
                return lock
            lock.close()  # another process took the file for a stale one before it was locked

    def count_processes(self) -> int:
        """How many processes of this limiter run, with this one."""
        return 1 + len(self._other_processes())

    def _other_processes(self) -> list[str]:
        """The process files of the others that run; the files of those that ended are deleted."""
        running = list[str]()
        if self._folder is None:
            return running
        try:
            for path in self._folder.iterdir():
                if not path.name.startswith(PROCESS_FILE_PREFIX) or path.name == self._process_file:
                    continue
                with FileLock(path, blocking=False) as lock:
                    if lock.acquired:
                        path.unlink(missing_ok=True)
                        self._handover_path(self._folder, path.name).unlink(missing_ok=True)
                    else:
                        running.append(path.name)
        except OSError as error:
            log.warning("cannot look for another process: %s", error)
        return running

    @staticmethod
    def _handover_path(folder: Path, process_file: str) -> Path:
        return folder / f"{HANDOVER_FILE_PREFIX}{process_file}"

    def write_handover(self, state: model.HandoverState) -> None:
        """Leave the state for the process that has joined; nothing where none has, or more than one.

        A part of a ceiling may go to one process alone, and only once.
        """
        joined = [process for process in self._other_processes() if process not in self._successors]
        if self._folder is None or len(joined) != 1:
            return
        successor = joined[0]
        self._successors.add(successor)
        temporary = self._folder / f"{HANDOVER_FILE_PREFIX}{self._process_file}.new"
        try:
            text = encode_handover(state, self._clock_offset)
            replace_file(self._handover_path(self._folder, successor), text, temporary=temporary)
        except OSError as error:
            log.warning("the handover state could not be written: %s", error)

    def read_handover(self) -> model.HandoverState | None:
        """The state that another process has left for this one; None where there is none or malformed."""
        if self._folder is None:
            return None
        path = self._handover_path(self._folder, self._process_file)
        try:
            with path.open("rb") as file:
                data = file.read(MAX_HANDOVER_SIZE)
            path.unlink()  # before it is decoded: whatever it holds, it is read once
            return decode_handover(data, self._clock_offset)
        except FileNotFoundError:
            return None
        except (OSError, HandoverFormatError) as error:
            log.warning("the handover state of another process cannot be read: %s", error)
            return None

    def read_suspensions(self) -> frozenset[str]:
        """The endpoints that operators have suspended; a malformed file changes nothing."""
        return self._suspension_file.read()

    def set_suspended(self, endpoint: str, suspended: bool) -> frozenset[str]:
        """Suspend or restore an endpoint for all processes, and return those that are suspended then."""
        return self._suspension_file.update(endpoint, suspended)

    def watch(
        self,
        on_change: Callable[[int, frozenset[str]], None],
        on_handover: Callable[[model.HandoverState], None],
    ) -> None:
        """Poll from now on, until ``close``.

        ``on_change`` is called with the number of processes and the suspended endpoints when either changes,
        ``on_handover`` with the state that another process has left for this one.
        """
        process_count = self.count_processes()
        suspensions = self.read_suspensions()
        if process_count != self._notified_process_count or suspensions != self._notified_suspensions:
            self._notified_process_count = process_count
            self._notified_suspensions = suspensions
            on_change(process_count, suspensions)
        state = self.read_handover()
        if state is not None:
            on_handover(state)
        self._poll_timer = asyncio.get_running_loop().call_later(
            POLL_INTERVAL, self.watch, on_change, on_handover
        )

    def close(self) -> None:
        """Stop polling and leave the group."""
        if self._poll_timer is not None:
            self._poll_timer.cancel()
        if self._folder is not None and self._liveness_lock is not None:
            (self._folder / self._process_file).unlink(missing_ok=True)
            self._liveness_lock.close()
            self._liveness_lock = None
