"""The endpoints that operators have suspended, recorded in one file for all processes of a limiter.

The file outlives the processes, so a suspension stays in force across restarts and upgrades. While the shared
directory is unavailable, a command is in force in this process only; it is recorded later.
"""

from __future__ import annotations

import json
import logging
from pathlib import Path

from quota_gateway.net.process_group.shared_files import FileLock, replace_file

log = logging.getLogger(__name__)

FILE_NAME = "bans.json"  # file names and key are part of the format on disk
LOCK_FILE_NAME = "bans.lock"
NAMES_KEY = "out"
MAX_SUSPENSIONS = 4096  # endpoints
MAX_FILE_BYTES = 4 * 1024 * 1024


class SuspensionFormatError(ValueError):
    """The suspension file is malformed."""


def _encode(endpoints: frozenset[str]) -> str:
    return json.dumps({NAMES_KEY: sorted(endpoints)})


def _decode(data: bytes) -> frozenset[str]:
    """Return the suspended endpoints; raise ``SuspensionFormatError`` for malformed data."""
    try:
        document = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise SuspensionFormatError(f"expected JSON: {error}") from None
    if not isinstance(document, dict) or NAMES_KEY not in document:
        raise SuspensionFormatError(f"expected an object with the key {NAMES_KEY!r}")
    names = document[NAMES_KEY]
    if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
        raise SuspensionFormatError(f"expected a list of names under the key {NAMES_KEY}")
    return frozenset(names)


class SuspensionFile:
    """The suspended endpoints; without a shared directory they are in memory only."""

    def __init__(self, directory: Path | None, process_file: str) -> None:
        """``process_file`` is unique to this process; it names the temporary file."""
        self._directory = directory
        self._temporary_name = f"{FILE_NAME}.{process_file}"
        self._recorded = frozenset[str]()  # endpoints in the file when it was last read or written
        self._unsaved = dict[str, bool]()  # commands not in the file yet, by endpoint; True: suspend
        self._content: bytes | None = None  # bytes of the file when it was last read or written
        self._error_logged = False
        self.is_loaded = directory is None  # whether the file has been read, or found missing or malformed

    @property
    def is_saved(self) -> bool:
        """Whether all commands so far are in the file; always true without a shared directory."""
        return self._directory is None or not self._unsaved

    @property
    def _endpoints(self) -> frozenset[str]:
        suspended = {name for name, is_suspended in self._unsaved.items() if is_suspended}
        return self._recorded - self._unsaved.keys() | suspended

    def read(self) -> frozenset[str]:
        """Return the suspended endpoints; if the file cannot be read, those that were read last."""
        if self._directory is not None:
            try:
                self._load(self._directory / FILE_NAME)
                self._error_logged = False
            except (OSError, SuspensionFormatError) as error:
                self._log_once(
                    "cannot read the file of suspended endpoints, the suspensions stay unchanged", error
                )
        return self._endpoints

    def _load(self, path: Path) -> None:
        """Read the file; raise ``OSError`` if it is unreadable, ``SuspensionFormatError`` if malformed."""
        try:
            with path.open("rb") as file:
                content = file.read(MAX_FILE_BYTES)
        except FileNotFoundError:
            self.is_loaded = True
            return
        self.is_loaded = True
        if content != self._content:
            self._recorded = _decode(content)
            self._content = content

    def update(self, endpoint: str, *, suspended: bool) -> frozenset[str]:
        """Suspend or restore an endpoint for all processes; return the endpoints that are now suspended.

        The command is in force in this process at once; ``is_saved`` says whether it is recorded for the
        other processes. A suspension beyond ``MAX_SUSPENSIONS`` endpoints is ignored.
        """
        endpoints = self.read()
        if suspended and endpoint not in endpoints and len(endpoints) >= MAX_SUSPENSIONS:
            return endpoints
        self._unsaved[endpoint] = suspended
        self.save()
        return self._endpoints

    def save(self) -> None:
        """Write the commands that are not in the file yet; they stay pending if that fails."""
        if self.is_saved or self._directory is None:
            return
        try:
            with FileLock(self._directory / LOCK_FILE_NAME) as lock:
                if lock.acquired:
                    self._write(self._directory)
        except OSError as error:
            self._log_once("a suspension cannot be written yet", error)

    def _write(self, directory: Path) -> None:
        try:
            self._load(directory / FILE_NAME)
        except SuspensionFormatError as error:
            self._log_once("the file of suspended endpoints is malformed and will be replaced", error)
        endpoints = self._endpoints
        text = _encode(endpoints)
        replace_file(directory / FILE_NAME, text, temporary=directory / self._temporary_name)
        self._recorded = endpoints
        self._content = text.encode()
        self._unsaved.clear()
        self._error_logged = False

    def _log_once(self, message: str, error: Exception) -> None:
        """Log an error, unless one has been logged since the file was last read or written."""
        if not self._error_logged:
            log.error("%s: %s", message, error)
        self._error_logged = True
