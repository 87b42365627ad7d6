"""Shared files: a lock excludes other holders, and replacing a file leaves no temporary file."""

from __future__ import annotations

from pathlib import Path

from quota_gateway.net.process_group.shared_files import FileLock, replace_file


def test_a_lock_excludes_others_until_it_is_closed(tmp_path: Path) -> None:
    path = tmp_path / "lock"
    with FileLock(path) as first:
        assert first.acquired
        with FileLock(path) as second:
            assert not second.acquired
    with FileLock(path) as third:
        assert third.acquired


def test_a_lock_may_be_closed_twice(tmp_path: Path) -> None:
    lock = FileLock(tmp_path / "lock")
    lock.close()
    lock.close()
    assert not lock.acquired


def test_replacing_a_file_leaves_no_temporary_file(tmp_path: Path) -> None:
    path = tmp_path / "file"
    path.write_text("old")
    replace_file(path, "new", temporary=tmp_path / "file.new")
    assert path.read_text() == "new"
    assert list(tmp_path.iterdir()) == [path]
