"""The README's example runs as printed and forwards its request."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any

from quota_gateway import model

README = Path(__file__).parent.parent / "README.md"


def test_the_example_runs() -> None:
    example = re.search(r"```python\n(.*?)```", README.read_text(), re.DOTALL)
    assert example
    names: dict[str, Any] = {}
    exec(example.group(1), names)
    assert any(isinstance(action, model.Forward) for action in names["actions"])
