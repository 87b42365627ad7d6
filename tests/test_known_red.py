"""KNOWN-RED plugin: only listed tests may fail, and a malformed or stale entry aborts the run."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

from tests.known_red import KnownRedFileError, KnownRedTest, parse_known_red

ROOT = Path(__file__).parent.parent
TESTS = """
import pytest

def test_fails():
    assert False

def test_fails_too():
    assert False

@pytest.mark.parametrize("case", [1, 2])
def test_cases(case):
    assert case == 1

@pytest.fixture
def fails_at_its_end():
    yield
    assert False

def test_fails_at_its_end(fails_at_its_end):
    pass
"""
DETAILS = " | python -m pytest, seed 3 | seen once | 12"


def run_pytest(folder: Path, known_red: str) -> subprocess.CompletedProcess[str]:
    """Run the tests in ``TESTS`` with the plugin and with this text as KNOWN-RED.txt."""
    (folder / "test_sample.py").write_text(TESTS)
    (folder / "KNOWN-RED.txt").write_text(known_red)
    command = [sys.executable, "-m", "pytest", "-q", "-p", "tests.known_red", "-p", "no:cacheprovider"]
    environment = {**os.environ, "PYTHONPATH": str(ROOT)}
    return subprocess.run(command, cwd=folder, env=environment, capture_output=True, text=True, check=False)


def test_only_listed_tests_are_marked_as_expected_failures_and_printed(tmp_path: Path) -> None:
    result = run_pytest(
        tmp_path, f"test_sample.py::test_fails{DETAILS}\ntest_sample.py::test_cases{DETAILS}\n"
    )
    assert "1 failed, 1 passed, 2 xfailed, 1 xpassed, 1 error" in result.stdout
    assert "XFAIL test_sample.py::test_fails - python -m pytest, seed 3 | seen once | 12" in result.stdout
    assert "XPASS test_sample.py::test_cases[1]" in result.stdout
    assert "FAILED test_sample.py::test_fails_too" in result.stdout
    assert result.returncode == pytest.ExitCode.TESTS_FAILED


def test_listed_soak_run_is_printed_and_marks_no_test(tmp_path: Path) -> None:
    result = run_pytest(tmp_path, f"python -m soak --seed 5{DETAILS}\n")
    assert "KNOWN RED, not run: python -m soak --seed 5 | python -m pytest, seed 3" in result.stdout
    assert "xfailed" not in result.stdout
    assert result.returncode == pytest.ExitCode.TESTS_FAILED


def test_listed_test_may_fail_in_a_fixture(tmp_path: Path) -> None:
    names = ("test_fails", "test_fails_too", "test_cases", "test_fails_at_its_end")
    result = run_pytest(tmp_path, "".join(f"test_sample.py::{name}{DETAILS}\n" for name in names))
    assert result.returncode == pytest.ExitCode.OK


def test_entry_that_matches_no_test_aborts_the_run(tmp_path: Path) -> None:
    result = run_pytest(tmp_path, f"test_sample.py::test_fail{DETAILS}\n")
    assert "KNOWN-RED.txt: no test is named test_sample.py::test_fail" in result.stderr
    assert result.returncode == pytest.ExitCode.USAGE_ERROR


@pytest.mark.parametrize(
    "line", ["test_a", "test_a | command | seen", "test_a | command |  | 12", " | b | c | d"]
)
def test_error_for_malformed_line_names_its_line_number(line: str) -> None:
    with pytest.raises(KnownRedFileError, match=r"KNOWN-RED.txt:2: expected TEST \| COMMAND AND SEED"):
        parse_known_red(f"\n{line}\n")


def test_entry_is_parsed() -> None:
    (entry,) = parse_known_red(f"tests/test_a.py::test_b{DETAILS}\n")
    assert entry == KnownRedTest("tests/test_a.py::test_b", "python -m pytest, seed 3", "seen once", "12")
