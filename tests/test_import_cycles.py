"""Import cycles: no module of the soak and scale tests may import itself through other modules."""

from __future__ import annotations

import ast
from graphlib import TopologicalSorter
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent


def _modules(package: str) -> dict[str, Path]:
    """Return the module files of a package, keyed by dotted module name."""
    modules = {}
    for path in (ROOT / package).rglob("*.py"):
        parts = path.relative_to(ROOT).with_suffix("").parts
        modules[".".join(parts[:-1] if parts[-1] == "__init__" else parts)] = path
    return modules


def _imports(source: str) -> set[str]:
    """Return the dotted names that a source imports, including imports for type checking only."""
    imported = set[str]()
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Import):
            imported.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            imported.add(node.module)
            imported.update(f"{node.module}.{alias.name}" for alias in node.names)
    return imported


@pytest.mark.parametrize("package", ["soak", "scale"])
def test_package_has_no_import_cycle(package: str) -> None:
    modules = _modules(package)
    graph = {name: _imports(path.read_text()) & modules.keys() - {name} for name, path in modules.items()}
    assert len(graph) > 20
    TopologicalSorter(graph).prepare()  # raises CycleError, which names the modules of the cycle
