"""Files that several processes use at once: advisory locks and atomic replacement."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path
from types import TracebackType
from typing import Self

LOCK_FILE_MODE = 0o600  # accessible to the owner only


class FileLock:
    """An exclusive ``flock`` on a file, which is created if missing; released by ``close``.

    The kernel also releases the lock when the process exits for any reason. ``acquired`` is false if another
    process holds the lock. An ``OSError`` means that it is unknown whether the lock is held.
    """

    __slots__ = ("_descriptor", "acquired")

    def __init__(self, path: Path) -> None:
        """Open the file and try to lock it without waiting: a stopped process may hold the lock."""
        self._descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, LOCK_FILE_MODE)
        self.acquired = False
        try:
            fcntl.flock(self._descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            self.acquired = True
        except BlockingIOError:
            os.close(self._descriptor)
        except OSError:
            os.close(self._descriptor)
            raise

    def close(self) -> None:
        """Release the lock; a second call does nothing."""
        if self.acquired:
            self.acquired = False
            os.close(self._descriptor)

    def __enter__(self) -> Self:
        """Enter a block at whose end the lock is released; check ``acquired`` first."""
        return self

    def __exit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Release the lock."""
        self.close()


def replace_file(path: Path, text: str, *, temporary: Path) -> None:
    """Replace a file atomically: write ``temporary``, in the same directory, and rename it.

    Raises ``OSError`` if either step fails.
    """
    temporary.write_text(text)
    temporary.rename(path)
