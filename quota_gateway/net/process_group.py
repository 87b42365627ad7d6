"""What the processes of one limiter share in $TMPDIR: that they live, which servers are out by hand, and
what an old one has learnt, for a new one.

Each process holds a lock on a file of its own; the kernel gives it back however the process ends, so that
nothing stale passes for a living process. The bans lie in one file, written whole and then renamed.
"""

from __future__ import annotations

import asyncio
import fcntl
import json
import logging
import math
import os
import secrets
from collections.abc import Callable
from pathlib import Path
from typing import Any

from quota_gateway import model

log = logging.getLogger(__name__)

LOOK = 0.1  # seconds between two looks: within a second a ban must hold in the other process too
# The folder keeps the name of the earlier package: an old process and a new one meet in it during an upgrade.
FOLDER, PROCESS, BANS, LOCK = "cypresspulley", "process-", "bans.json", "bans.lock"
MOST_BANS, MAX_FILE = 4096, 4 * 1024 * 1024
NOTES = "notes-for-"  # what one process has learnt, for one other by the name of its file


def _locked(path: Path, wait: bool) -> int | None:
    """The descriptor of a file locked by this process, or None where another holds it."""
    fd = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    try:
        fcntl.flock(fd, fcntl.LOCK_EX | (0 if wait else fcntl.LOCK_NB))
    except OSError:
        os.close(fd)
        return None
    return fd


def _number(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise ValueError(f"not a number: {value!r:.40}")
    return float(value)


def _maybe(value: Any) -> float | None:
    return None if value is None else _number(value)


def _notes_from(raw: Any) -> model.HandoverState:
    """The notes in their file's form; ``ValueError``, ``KeyError`` or ``TypeError`` where they are none."""
    servers = tuple(
        model.EndpointHandover(
            str(row["name"]), _number(row["born"]), _maybe(row["cold_at"]), int(_number(row["answers"])),
            _number(row["pace"]), _number(row["slow"]), _number(row["rate"]),
        )
        for row in raw["servers"]
    )  # fmt: skip
    accounts = tuple(
        model.AccountHandover(
            str(row["plan"]), str(row["account"]), max(1, int(_number(row["gateways"]))),
            _number(row["level"]), _number(row["floor"]), max(0.0, _number(row["ceiling"])),
            _number(row["others"]), _number(row["synced"]), _maybe(row["total"]),
        )
        for row in raw["accounts"]
    )  # fmt: skip
    bases = {str(name): _number(base) for name, base in raw["bases"].items()}
    done, mean, units = (max(0.0, _number(raw[key])) for key in ("done_rate", "mean", "units"))
    return model.HandoverState(done, mean, units, bases, servers, accounts)


def _notes_to(state: model.HandoverState) -> dict[str, Any]:
    """The notes in their file's form: its keys are the format's own, whatever the fields are called here."""
    return {
        "done_rate": state.completion_rate,
        "mean": state.mean_work,
        "units": state.mean_units,
        "bases": dict(state.base_latencies),
        "servers": [
            {
                "name": endpoint.name,
                "born": endpoint.started_at,
                "cold_at": endpoint.warming_since,
                "answers": endpoint.responses,
                "pace": endpoint.mean_slowdown,
                "slow": endpoint.slowdown,
                "rate": endpoint.work_rate,
            }
            for endpoint in state.endpoints
        ],
        "accounts": [
            {
                "plan": account.plan,
                "account": account.account,
                "gateways": account.serving_gateways,
                "level": account.tokens,
                "floor": account.guaranteed_tokens,
                "ceiling": account.ceiling_tokens,
                "others": account.remote_usage_rate,
                "synced": account.last_synchronised,
                "total": account.counter_total,
            }
            for account in state.accounts
        ],
    }


class ProcessGroup:
    """This process's place among those of its limiter. Without a folder that can be written it is alone."""

    def __init__(self, folder: str | None, name: str) -> None:
        self._folder: Path | None = None
        self._own = ""
        self._mine = None if folder is None else self._enter(Path(folder), name)
        self._told: tuple[int, frozenset[str]] = 1, frozenset()
        self._file: tuple[int, int] | None = None
        self._bans, self._damaged = frozenset[str](), False
        self._given = set[str]()  # processes that have this one's notes
        self._look_at: asyncio.TimerHandle | None = None

    def _enter(self, parent: Path, name: str) -> int | None:
        try:
            # By name: where limiters are given one folder all the same, their bans are not one another's.
            place = parent / f"{FOLDER}-{name.encode().hex()[:64]}"
            place.mkdir(mode=0o700, exist_ok=True)
            fd = None
            while fd is None:
                self._own = f"{PROCESS}{os.getpid()}-{secrets.token_hex(4)}"
                fd = _locked(place / self._own, wait=False)
                if fd is not None and not (place / self._own).exists():
                    os.close(fd)  # taken for a stale one by another process before it was locked
                    fd = None
        except OSError as error:
            log.error("nothing can be shared with another process: %s", error)
            return None
        self._folder = place
        return fd

    @property
    def process_count(self) -> int:
        """This one and the others that live."""
        return 1 + len(self._others())

    def _others(self) -> list[str]:
        """The other processes that live; files of those that ended are cleared away."""
        others = list[str]()
        if self._folder is None:
            return others
        try:
            for path in self._folder.iterdir():
                if not path.name.startswith(PROCESS) or path.name == self._own:
                    continue
                fd = _locked(path, wait=False)
                if fd is None:
                    others.append(path.name)
                else:
                    path.unlink(missing_ok=True)
                    (self._folder / f"{NOTES}{path.name}").unlink(missing_ok=True)
                    os.close(fd)
        except OSError as error:
            log.warning("cannot look for another process: %s", error)
        return others

    def write_handover(self, notes: model.HandoverState) -> None:
        """Write what this process has learnt for the one that has come; it is read once."""
        fresh = [name for name in self._others() if name not in self._given]
        if self._folder is None or len(fresh) != 1:
            return  # a part of a ceiling is for one process
        self._given.add(fresh[0])
        try:
            path = self._folder / f"{NOTES}{self._own}.new"
            path.write_text(json.dumps(_notes_to(notes)))
            path.rename(self._folder / f"{NOTES}{fresh[0]}")
        except OSError as error:
            log.warning("what this process has learnt could not be written down: %s", error)

    def read_handover(self) -> model.HandoverState | None:
        """What another process has left for this one; None where it left nothing that can be read."""
        if self._folder is None:
            return None
        path = self._folder / f"{NOTES}{self._own}"
        try:
            with path.open("rb") as file:
                text = file.read(MAX_FILE)
            path.unlink()  # first: whatever it is, it is taken once
            return _notes_from(json.loads(text))
        except FileNotFoundError:
            return None
        except (OSError, ValueError, KeyError, TypeError) as error:
            log.warning("what another process has left cannot be read: %s", error)
            return None

    def suspensions(self) -> frozenset[str]:
        """The servers that are out by hand; a damaged file changes nothing."""
        if self._folder is None:
            return self._bans
        try:
            path = self._folder / BANS
            state = path.stat()
            if (mark := (state.st_ino, state.st_mtime_ns)) == self._file:
                return self._bans
            with path.open("rb") as file:
                names = json.loads(file.read(MAX_FILE))["out"]
            if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
                raise ValueError("not a list of names")
            self._file, self._bans, self._damaged = mark, frozenset(names), False
        except FileNotFoundError:
            pass
        except (OSError, ValueError, KeyError, TypeError) as error:
            if not self._damaged:
                log.error("the file of servers out by hand cannot be read, they stay as they were: %s", error)
            self._damaged = True
        return self._bans

    def set_suspended(self, server: str, out: bool) -> frozenset[str]:
        """Keep a server out, or no longer, for all processes; gives what then holds."""
        if self._folder is None:
            self._bans = self._bans | {server} if out else self._bans - {server}
            return self._bans
        lock: int | None = None
        try:
            lock = _locked(self._folder / LOCK, wait=True)  # held for a write of some bytes
            names = self.suspensions()
            self._bans = names | {server} if out and len(names) < MOST_BANS else names - {server}
            fresh = self._folder / f"{BANS}.{self._own}"
            fresh.write_text(json.dumps({"out": sorted(self._bans)}))
            fresh.rename(self._folder / BANS)
        except OSError as error:
            log.error("a server out by hand could not be written down: %s", error)
            self._bans = self._bans | {server} if out else self._bans - {server}
        finally:
            if lock is not None:
                os.close(lock)
        return self._bans

    def watch(
        self, tell: Callable[[int, frozenset[str]], None], learn: Callable[[model.HandoverState], None]
    ) -> None:
        """Tell from now on when processes come or go, when bans change, and what another process has left."""
        now = self.process_count, self.suspensions()
        if now != self._told:
            self._told = now
            tell(*now)
        if (notes := self.read_handover()) is not None:
            learn(notes)
        self._look_at = asyncio.get_running_loop().call_later(LOOK, self.watch, tell, learn)

    def close(self) -> None:
        if self._look_at is not None:
            self._look_at.cancel()
        if self._folder is not None and self._mine is not None:
            (self._folder / self._own).unlink(missing_ok=True)
            os.close(self._mine)
            self._mine = None
