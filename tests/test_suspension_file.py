"""Suspension file: all processes read the same suspensions, and a missing or malformed file removes none.

``test_wire_formats.py`` checks the bytes of the file.
"""

from __future__ import annotations

import logging
from pathlib import Path

import pytest

from quota_gateway.net.process_group.suspension_file import FILE_NAME, MAX_SUSPENSIONS, SuspensionFile


def test_a_suspension_by_one_process_is_read_by_another(tmp_path: Path) -> None:
    first = SuspensionFile(tmp_path, "first")
    second = SuspensionFile(tmp_path, "second")
    assert first.update("s1", suspended=True) == {"s1"}
    assert second.update("s2", suspended=True) == {"s1", "s2"}
    assert first.read() == {"s1", "s2"}
    assert first.update("s1", suspended=False) == {"s2"}
    assert second.read() == {"s2"}


def test_suspensions_stay_in_force_when_the_file_is_deleted(tmp_path: Path) -> None:
    file = SuspensionFile(tmp_path, "first")
    file.update("s1", suspended=True)
    assert file.read() == {"s1"}
    (tmp_path / FILE_NAME).unlink()
    assert file.read() == {"s1"}


def test_a_malformed_file_is_logged_once(tmp_path: Path, caplog: pytest.LogCaptureFixture) -> None:
    file = SuspensionFile(tmp_path, "first")
    (tmp_path / FILE_NAME).write_bytes(b'{"out": 3}')
    with caplog.at_level(logging.ERROR):
        for _ in range(2):
            assert file.read() == frozenset()
    (record,) = caplog.records
    assert "expected a list of names under the key out" in record.getMessage()


def test_a_suspension_beyond_the_maximum_is_ignored(tmp_path: Path) -> None:
    file = SuspensionFile(tmp_path, "first")
    names = ", ".join(f'"s{index}"' for index in range(MAX_SUSPENSIONS))
    (tmp_path / FILE_NAME).write_text(f'{{"out": [{names}]}}')
    assert len(file.read()) == MAX_SUSPENSIONS
    assert "one-more" not in file.update("one-more", suspended=True)
    assert len(file.read()) == MAX_SUSPENSIONS
