"""The handover files of a process: the one that it leaves for another process, and the one left for it."""

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

HANDOVER_FILE_PREFIX = "notes-for-"  # followed by the process file of the one that is to read it
MAX_HANDOVER_SIZE = 4 * 1024 * 1024  # bytes that are read
HANDOVER_RETRY_TIME = 5.0  # seconds in which a handover that could not be written is tried again


def handover_path(folder: Path, process_file: str) -> Path:
    """The file that is left for a process."""
    return folder / f"{HANDOVER_FILE_PREFIX}{process_file}"


def temporary_path(folder: Path, process_file: str) -> Path:
    """The file that a process writes before it is left for another one."""
    return folder / f"{HANDOVER_FILE_PREFIX}{process_file}.new"


@dataclass(frozen=True, slots=True)
class PendingHandover:
    """A handover that is not written yet."""

    successor: str  # process file
    state: model.HandoverState
    made_at: float  # seconds of the monotonic clock


class HandoverFiles:
    """Writes to each other process once, and reads once: a part of a ceiling must not be taken twice."""

    def __init__(self, clock_offset: float) -> None:
        """``clock_offset`` is this process's Unix time less its monotonic time."""
        self._clock_offset = clock_offset
        self._successors = set[str]()  # process files of those that were left a state
        self._pending: PendingHandover | None = None
        self._is_read = False  # and its file could not be removed

    def new_successor(self, running: list[str]) -> str | None:
        """The one process among the others that has been left nothing; None where that is none or several."""
        joined = [process for process in running if process not in self._successors]
        return joined[0] if len(joined) == 1 else None

    def leave(self, folder: Path, process_file: str, successor: str, state: model.HandoverState) -> None:
        """Leave a state for another process; if the folder fails, ``write_pending`` tries again."""
        self._successors.add(successor)
        self._pending = PendingHandover(successor, state, time.monotonic())
        self.write_pending(folder, process_file)

    def write_pending(self, folder: Path, process_file: str) -> None:
        """Write what could not be written, as long as the other process would take it."""
        pending = self._pending
        if pending is None:
            return
        try:
            text = encode_handover(pending.state, self._clock_offset)
            path = handover_path(folder, pending.successor)
            replace_file(path, text, temporary=temporary_path(folder, process_file))
            self._pending = None
        except OSError as error:
            log.warning("the handover state could not be written: %s", error)
            if time.monotonic() - pending.made_at > HANDOVER_RETRY_TIME:
                self._pending = None

    def take(self, folder: Path, process_file: str) -> model.HandoverState | None:
        """The state that another process has left for this one; None where there is none or malformed."""
        if self._is_read:
            return None
        path = handover_path(folder, process_file)
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
            self._is_read = True
        try:
            return decode_handover(data, self._clock_offset)
        except HandoverFormatError as error:
            log.warning("the handover state of another process is malformed: %s", error)
            return None
