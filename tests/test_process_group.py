"""What the processes of one limiter share in files."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

from quota_gateway import model
from quota_gateway.net.process_group import BANS, ProcessGroup


def test_what_processes_share_outlives_one_and_survives_damage(tmp_path: Path) -> None:
    first = ProcessGroup(str(tmp_path), "n1")
    assert first.process_count == 1 and first.suspensions() == frozenset()
    code = "import sys; from quota_gateway.net.process_group import ProcessGroup; " \
        "s = ProcessGroup(sys.argv[1], 'n1'); " \
        "s.set_suspended('b', True); print(s.process_count, flush=True); sys.stdin.read()"  # fmt: skip
    first.set_suspended("a", True)
    other = subprocess.Popen(
        [sys.executable, "-c", code, str(tmp_path)], stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
    )
    assert other.stdout is not None and other.stdout.readline() == "2\n"
    assert first.process_count == 2 and first.suspensions() == {"a", "b"}
    other.kill()
    other.communicate()
    assert first.process_count == 1  # what a killed process left is stale, and is cleared away
    assert ProcessGroup(str(tmp_path), "n2").suspensions() == frozenset()
    folder = next(path.parent for path in tmp_path.rglob(BANS))
    for damage in (b"", b"{", b'{"out": 3}', b"[]", b"\xff", b'{"out": [1]}'):
        (folder / BANS).write_bytes(damage)
        assert first.suspensions() == {"a", "b"}
        fresh = ProcessGroup(str(tmp_path), "n1")
        assert fresh.suspensions() == frozenset()
        fresh.close()
    assert first.set_suspended("a", False) == {"b"} == first.suspensions()
    assert ProcessGroup(str(tmp_path / "missing"), "n1").set_suspended("x", True) == {
        "x"
    }  # alone, and it still works


def test_what_one_process_hands_over_is_read_once_and_damage_is_passed_over(tmp_path: Path) -> None:
    old, new = ProcessGroup(str(tmp_path), "n1"), ProcessGroup(str(tmp_path), "n1")
    notes = model.HandoverState(
        0.5, 0.1, 2.0, {"read": 0.04}, (model.EndpointHandover("s0", 1.5, None, 3, 1.0, 1.1, 0.2),),
        (model.AccountHandover("basic", "00000000b4d65521", 2, 3.0, 1.0, 0.5, 0.1, 7.0, None),),
    )  # fmt: skip
    old.write_handover(notes)
    old.write_handover(notes)
    assert new.read_handover() == notes and new.read_handover() is None and old.read_handover() is None
    (folder,) = (path for path in tmp_path.iterdir() if path.is_dir())
    for damage in (b"", b"[]", b"{}", b"\xff", b'{"servers": [], "accounts": [3], "bases": {}}'):
        (folder / f"notes-for-{new._own}").write_bytes(damage)
        assert new.read_handover() is None and not list(folder.glob("notes-for-*"))
    third = ProcessGroup(str(tmp_path), "n1")
    fourth = ProcessGroup(str(tmp_path), "n1")
    old.write_handover(notes)  # two have come: a part of a ceiling is for one
    assert third.read_handover() is None and fourth.read_handover() is None
