"""Process group: each process detects the others, reads their suspensions and takes over a handover once."""

from __future__ import annotations

import errno
import fcntl
import os
import subprocess
import sys
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from quota_gateway import model
from quota_gateway.net.process_group.group import ProcessGroup
from quota_gateway.net.process_group.suspension_file import FILE_NAME

HANDOVER_STATE = model.HandoverState(
    completion_rate=0.5,
    mean_work=0.1,
    mean_units=2.0,
    base_latencies={"read": 0.04},
    endpoints=(
        model.EndpointHandover(
            name="s0",
            started_at=1.5,
            warming_since=None,
            responses=3,
            mean_slowdown=1.0,
            slowdown=1.1,
            work_rate=0.2,
        ),
    ),
    accounts=(
        model.AccountHandover(
            plan="basic",
            account="00000000b4d65521",
            serving_gateways=2,
            tokens=3.0,
            guaranteed_tokens=1.0,
            ceiling_tokens=0.5,
            remote_usage_rate=0.1,
            last_synchronised=7.0,
            counter_total=None,
        ),
    ),
)
# Joins the group, suspends an endpoint, prints the number of processes and waits to be killed.
OTHER_PROCESS = """
import sys
from quota_gateway.net.process_group.group import ProcessGroup

group = ProcessGroup(sys.argv[1], "n1")
group.set_suspended("b", suspended=True)
print(group.count_processes(), flush=True)
sys.stdin.read()
"""


@pytest.fixture
def group(tmp_path: Path) -> Iterator[ProcessGroup]:
    group = ProcessGroup(str(tmp_path), "n1")
    yield group
    group.close()


@pytest.fixture
def successor(tmp_path: Path, group: ProcessGroup) -> Iterator[ProcessGroup]:  # noqa: ARG001 - for the order
    """A process that joins after ``group``."""
    successor = ProcessGroup(str(tmp_path), "n1")
    yield successor
    successor.close()


def group_directory(tmp_path: Path) -> Path:
    (directory,) = (path for path in tmp_path.iterdir() if path.is_dir())
    return directory


def suspend_in_another_process(tmp_path: Path, group: ProcessGroup) -> None:
    """Let another process suspend endpoint ``b``, check what both processes read, and kill it."""
    other = subprocess.Popen(
        [sys.executable, "-c", OTHER_PROCESS, str(tmp_path)],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    assert other.stdout is not None
    assert other.stdout.readline() == "2\n"
    assert group.count_processes() == 2
    assert group.read_suspensions() == {"a", "b"}
    other.kill()
    other.communicate()


def test_suspensions_outlive_the_process_that_recorded_them(tmp_path: Path, group: ProcessGroup) -> None:
    assert group.count_processes() == 1
    assert group.read_suspensions() == frozenset()
    group.set_suspended("a", suspended=True)
    suspend_in_another_process(tmp_path, group)
    assert group.count_processes() == 1  # the stale file of the killed process is deleted
    assert group.read_suspensions() == {"a", "b"}


def test_limiters_with_different_names_do_not_share_suspensions(tmp_path: Path, group: ProcessGroup) -> None:
    group.set_suspended("a", suspended=True)
    assert ProcessGroup(str(tmp_path), "n2").read_suspensions() == frozenset()


def test_a_malformed_suspension_file_leaves_the_suspensions_of_a_running_process_unchanged(
    tmp_path: Path, group: ProcessGroup
) -> None:
    group.set_suspended("a", suspended=True)
    suspend_in_another_process(tmp_path, group)
    file = group_directory(tmp_path) / FILE_NAME
    for malformed in (b"", b"{", b'{"out": 3}', b"[]", b"\xff", b'{"out": [1]}'):
        file.write_bytes(malformed)
        assert group.read_suspensions() == {"a", "b"}
        new_process = ProcessGroup(str(tmp_path), "n1")
        assert new_process.read_suspensions() == frozenset()
        new_process.close()
    assert group.set_suspended("a", suspended=False) == {"b"}
    assert group.read_suspensions() == {"b"}


def test_suspensions_are_kept_in_memory_without_a_shared_directory(tmp_path: Path) -> None:
    assert ProcessGroup(str(tmp_path / "missing"), "n1").set_suspended("x", suspended=True) == {"x"}


def test_the_handover_state_is_read_once(group: ProcessGroup, successor: ProcessGroup) -> None:
    group.write_handover(HANDOVER_STATE)
    group.write_handover(HANDOVER_STATE)
    assert successor.read_handover() == HANDOVER_STATE
    assert successor.read_handover() is None
    assert group.read_handover() is None


def test_the_handover_state_is_written_once_for_each_process(
    group: ProcessGroup, successor: ProcessGroup
) -> None:
    group.write_handover(HANDOVER_STATE)
    assert successor.read_handover() == HANDOVER_STATE
    group.write_handover(HANDOVER_STATE)
    assert successor.read_handover() is None


def test_a_malformed_handover_file_is_deleted(tmp_path: Path, successor: ProcessGroup) -> None:
    directory = group_directory(tmp_path)
    for malformed in (b"", b"[]", b"{}", b"\xff", b'{"servers": [], "accounts": [3], "bases": {}}'):
        (directory / f"notes-for-{successor.process_file}").write_bytes(malformed)
        assert successor.read_handover() is None
        assert not list(directory.glob("notes-for-*"))


def test_no_handover_state_is_written_when_two_processes_have_joined(
    tmp_path: Path, group: ProcessGroup, successor: ProcessGroup
) -> None:
    group.write_handover(HANDOVER_STATE)
    assert successor.read_handover() == HANDOVER_STATE
    third = ProcessGroup(str(tmp_path), "n1")
    fourth = ProcessGroup(str(tmp_path), "n1")
    group.write_handover(HANDOVER_STATE)  # only one process may use a handed-over part of a ceiling
    assert third.read_handover() is None
    assert fourth.read_handover() is None
    third.close()
    fourth.close()


def failing_call(error: int) -> Callable[..., Any]:
    """Return a function that raises the ``OSError`` of a failing system call."""

    def fail(*_args: object, **_options: object) -> None:
        raise OSError(error, os.strerror(error))

    return fail


@pytest.mark.parametrize("error", [errno.EMFILE, errno.EIO, errno.ENOLCK])
@pytest.mark.parametrize("owner_and_name", [(os, "open"), (fcntl, "flock"), (Path, "iterdir")], ids=str)
def test_a_process_whose_lock_cannot_be_checked_counts_as_running(
    error: int,
    owner_and_name: tuple[object, str],
    group: ProcessGroup,
    successor: ProcessGroup,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """If an error counted as the exit of the other process, both would use the whole of every ceiling."""
    assert group.count_processes() == 2
    with monkeypatch.context() as patch:
        patch.setattr(*owner_and_name, failing_call(error))
        assert group.count_processes() == 2
    assert group.count_processes() == 2
    successor.close()
    assert group.count_processes() == 1
