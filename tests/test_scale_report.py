"""The JSON report of the scale tests: a failed write leaves neither a partial nor a temporary file."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from scale.report import write_json_atomically


def test_results_are_written_completely_or_not_at_all(tmp_path: Path) -> None:
    path = tmp_path / "results.json"
    write_json_atomically(path, {"run": 1})
    with pytest.raises(ValueError, match="JSON"):
        write_json_atomically(path, {"run": float("nan")})
    assert json.loads(path.read_text()) == {"run": 1}
    with pytest.raises(OSError, match="directory"):
        write_json_atomically(tmp_path / "none" / "results.json", {})
    (tmp_path / "folder").mkdir()
    with pytest.raises(OSError, match="folder"):
        write_json_atomically(tmp_path / "folder", {})
    assert sorted(entry.name for entry in tmp_path.iterdir()) == ["folder", "results.json"]
