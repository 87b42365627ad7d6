"""The handover files of a process: the one that it writes for its successor, and the one written for it."""

from __future__ import annotations

import logging
import time
from dataclasses import dataclass
from pathlib import Path

from quota_gateway import model
from quota_gateway.net.process_group.handover_codec import (
    HandoverFormatError,
    decode_handover,
    encode_handover,
)
from quota_gateway.net.process_group.shared_files import replace_file

log = logging.getLogger(__name__)

HANDOVER_FILE_PREFIX = "notes-for-"  # the name of the reader's process file follows
MAX_HANDOVER_BYTES = 4 * 1024 * 1024
# How long a failed write of a handover is retried. A new process takes over state only within this
# time after its start.
RETRY_TIMEOUT_SECONDS = 5.0


def handover_path(directory: Path, process_file: str) -> Path:
    """Return the path of the handover file for a process."""
    return directory / f"{HANDOVER_FILE_PREFIX}{process_file}"


def temporary_path(directory: Path, process_file: str) -> Path:
    """Return the path at which a process writes a handover before it is renamed."""
    return directory / f"{HANDOVER_FILE_PREFIX}{process_file}.new"


@dataclass(frozen=True, slots=True)
class PendingHandover:
    """A handover that is not written yet."""

    successor: str  # process file of the successor
    state: model.HandoverState
    created_at: float  # seconds of the monotonic clock


class HandoverFiles:
    """Writes at most one handover per successor and reads at most one: no ceiling part may be used twice."""

    def __init__(self, clock_offset: float) -> None:
        """``clock_offset`` is this process's Unix time minus its monotonic time, in seconds."""
        self._clock_offset = clock_offset
        self._successors = set[str]()  # process files of the processes that have been handed a state
        self._pending: PendingHandover | None = None
        self._is_read = False  # true if the state has been read, but its file could not be deleted

    def new_successor(self, running: list[str]) -> str | None:
        """Return the running process that has not been handed a state; None if there is none or several."""
        joined = [process for process in running if process not in self._successors]
        return joined[0] if len(joined) == 1 else None

    def hand_over(
        self, directory: Path, process_file: str, successor: str, state: model.HandoverState
    ) -> None:
        """Write the state for another process; on failure ``write_pending`` retries."""
        self._successors.add(successor)
        self._pending = PendingHandover(successor, state, time.monotonic())
        self.write_pending(directory, process_file)

    def write_pending(self, directory: Path, process_file: str) -> None:
        """Write the pending handover, if any; discard it after ``RETRY_TIMEOUT_SECONDS``."""
        pending = self._pending
        if pending is None:
            return
        try:
            text = encode_handover(pending.state, self._clock_offset)
            path = handover_path(directory, pending.successor)
            replace_file(path, text, temporary=temporary_path(directory, process_file))
            self._pending = None
        except OSError as error:
            log.warning("cannot write the handover state for the new process: %s", error)
            if time.monotonic() - pending.created_at > RETRY_TIMEOUT_SECONDS:
                self._pending = None

    def read(self, directory: Path, process_file: str) -> model.HandoverState | None:
        """Read and delete the state written for this process; None if it is missing or malformed."""
        if self._is_read:
            return None
        path = handover_path(directory, process_file)
        try:
            with path.open("rb") as file:
                data = file.read(MAX_HANDOVER_BYTES)
        except FileNotFoundError:
            return None
        except OSError as error:
            log.warning("the handover state of another process cannot be read yet: %s", error)
            return None
        try:
            path.unlink()
        except OSError:
            self._is_read = True
        try:
            return decode_handover(data, self._clock_offset)
        except HandoverFormatError as error:
            log.warning("the handover state of another process is malformed and is ignored: %s", error)
            return None
