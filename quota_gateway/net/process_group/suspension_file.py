"""The endpoints that operators have suspended, kept in one file for all processes of a limiter.

The file outlives the processes, so that a suspension holds across restarts and upgrades. The folder may fail
for a while: a command that is not in the file yet holds in this process, and is written when that works.
"""

from __future__ import annotations

import json
import logging
from pathlib import Path

from quota_gateway.net.process_group.shared_files import FileLock, replace_file

log = logging.getLogger(__name__)

FILE_NAME = "bans.json"  # the names of the files and of the key belong to the format on disk
LOCK_FILE_NAME = "bans.lock"
NAMES_KEY = "out"
MAX_SUSPENSIONS = 4096  # endpoints; one more is refused
MAX_FILE_SIZE = 4 * 1024 * 1024  # bytes that are read


class SuspensionFormatError(ValueError):
    """A file of suspended endpoints that cannot be decoded."""


def _encode(endpoints: frozenset[str]) -> str:
    return json.dumps({NAMES_KEY: sorted(endpoints)})


def _decode(data: bytes) -> frozenset[str]:
    """The suspended endpoints; raises ``SuspensionFormatError`` where the file is malformed."""
    try:
        document = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise SuspensionFormatError(f"expected JSON: {error}") from None
    if not isinstance(document, dict) or NAMES_KEY not in document:
        raise SuspensionFormatError(f"expected an object with the key {NAMES_KEY!r}")
    names = document[NAMES_KEY]
    if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
        raise SuspensionFormatError(f"{NAMES_KEY}: not a list of names")
    return frozenset(names)


class SuspensionFile:
    """The suspended endpoints; without a folder they are kept in memory for this process alone."""

    def __init__(self, folder: Path | None, process_file: str) -> None:
        """``process_file`` is a name that no other process has, for temporary files."""
        self._folder = folder
        self._temporary_name = f"{FILE_NAME}.{process_file}"
        self._recorded = frozenset[str]()  # as the file has them, or had when it was read last
        self._unsaved = dict[str, bool]()  # by endpoint, whether it is suspended: not in the file yet
        self._content: bytes | None = None  # of the file when it was read last
        self._error_logged = False
        self.is_known = folder is None  # whether the file was read, is missing or malformed

    @property
    def is_saved(self) -> bool:
        """Whether all commands so far are in the file, as far as there is one."""
        return self._folder is None or not self._unsaved

    @property
    def _endpoints(self) -> frozenset[str]:
        suspended = {name for name, is_suspended in self._unsaved.items() if is_suspended}
        return self._recorded - self._unsaved.keys() | suspended

    def read(self) -> frozenset[str]:
        """The suspended endpoints; those read last where the file is missing or cannot be read."""
        if self._folder is not None:
            try:
                self._load(self._folder / FILE_NAME)
                self._error_logged = False
            except (OSError, SuspensionFormatError) as error:
                self._log_once(
                    "the file of suspended endpoints cannot be read, they stay as they were", error
                )
        return self._endpoints

    def _load(self, path: Path) -> None:
        """Read the file; ``OSError`` where nothing is known of it, ``SuspensionFormatError`` if malformed."""
        try:
            with path.open("rb") as file:
                content = file.read(MAX_FILE_SIZE)
        except FileNotFoundError:
            self.is_known = True
            return
        self.is_known = True
        if content != self._content:
            self._recorded = _decode(content)
            self._content = content

    def update(self, endpoint: str, suspended: bool) -> frozenset[str]:
        """Suspend or restore an endpoint for all processes, and return those that are suspended then.

        It holds here at once; ``is_saved`` tells whether it is recorded for the others. Beyond
        ``MAX_SUSPENSIONS`` an endpoint is not suspended.
        """
        endpoints = self.read()
        if suspended and endpoint not in endpoints and len(endpoints) >= MAX_SUSPENSIONS:
            return endpoints
        self._unsaved[endpoint] = suspended
        self.save()
        return self._endpoints

    def save(self) -> None:
        """Write what is not in the file yet; where that fails it stays to be written."""
        if self.is_saved or self._folder is None:
            return
        try:
            with FileLock(self._folder / LOCK_FILE_NAME) as lock:
                if lock.acquired:
                    self._write(self._folder)
        except OSError as error:
            self._log_once("a suspension cannot be written yet", error)

    def _write(self, folder: Path) -> None:
        try:
            self._load(folder / FILE_NAME)
        except SuspensionFormatError as error:
            self._log_once("the file of suspended endpoints is malformed and is replaced", error)
        endpoints = self._endpoints
        text = _encode(endpoints)
        replace_file(folder / FILE_NAME, text, temporary=folder / self._temporary_name)
        self._recorded = endpoints
        self._content = text.encode()
        self._unsaved.clear()
        self._error_logged = False

    def _log_once(self, message: str, error: Exception) -> None:
        """Log an error, until reading or writing has succeeded again."""
        if not self._error_logged:
            log.error("%s: %s", message, error)
        self._error_logged = True
