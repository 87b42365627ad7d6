"""README example: the printed Python code runs and forwards its request."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any

from quota_gateway import model

README = Path(__file__).parent.parent / "README.md"


def test_example_runs_and_forwards_its_request() -> None:
    example = re.search(r"```python\n(.*?)```", README.read_text(), re.DOTALL)
    assert example
    namespace: dict[str, Any] = {}
    exec(example.group(1), namespace)
    assert any(isinstance(action, model.Forward) for action in namespace["actions"])
