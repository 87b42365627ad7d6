"""Command line: an unusable configuration gives exit code 2 and one line on standard error."""

from __future__ import annotations

import json
import os
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from tests.gateway_process import make_config


def check_configuration_error(path: str) -> None:
    """Check that the command ends with exit code 2 and one line on standard error."""
    completed = subprocess.run(
        [sys.executable, "-m", "quota_gateway"],
        env={**os.environ, "LB_CONFIG": path},
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert completed.returncode == 2
    assert completed.stdout == ""
    assert len(completed.stderr.splitlines()) == 1
    assert completed.stderr.startswith("quota_gateway: ")


@pytest.mark.parametrize(
    "change",
    [
        {"listen": "nowhere"}, {"listen": None}, {"discovery": 7}, {"seed": "xyz"}, {"settings": None},
        {"settings": {"classes": 3}}, {"settings": {"n_instances": 0}}, {"known": {"seq": "x"}},
        {"limits": {"sockets": "many"}}, {"counter": "x"},
        {"settings": {"limits": {"dial_timeout_s": -1}}},
    ],
)  # fmt: skip
def test_an_invalid_configuration_gives_one_line_and_exit_code_2(
    change: dict[str, Any], tmp_path: Path
) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(make_config("127.0.0.1:1") | change))
    check_configuration_error(str(path))


def test_an_address_in_use_gives_one_line_and_exit_code_2(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    raw = make_config("127.0.0.1:1")
    with socket.create_server(("127.0.0.1", 0)) as occupied:
        raw["listen"] = f"127.0.0.1:{occupied.getsockname()[1]}"
        path.write_text(json.dumps(raw))
        check_configuration_error(str(path))


@pytest.mark.parametrize("text", ["", "{", "[]", "{}"])
def test_a_malformed_configuration_file_gives_one_line_and_exit_code_2(text: str, tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(text)
    check_configuration_error(str(path))


def test_a_missing_configuration_gives_one_line_and_exit_code_2() -> None:
    check_configuration_error("")
    check_configuration_error("/nonexistent/config.json")
