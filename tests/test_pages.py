"""The pages agree with the code: paths, class names, rejection reasons, layers, example configuration."""

from __future__ import annotations

import ast
import json
import os
import re
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from quota_gateway import model

ROOT = Path(__file__).parent.parent
README = ROOT / "README.md"
ARCHITECTURE = ROOT / "docs" / "ARCHITECTURE.md"
PAGES = (README, *sorted((ROOT / "docs").glob("*.md")))
PATH_PATTERN = re.compile(r"`((?:quota_gateway|scale|tests|docs|deploy|journal|\.ci)/[^`\s]*)`")
# Names of at least two words: one word alone may be an ordinary one or a value.
CLASS_PATTERN = re.compile(r"`((?:[A-Z][a-z]+){2,})`")
REASON_PATTERN = re.compile(r"^\| `([a-z ]+)` \|", re.MULTILINE)
# Log texts that README or the on-call page quote; a changed text has to change its page as well.
QUOTED_LOG_TEXTS = (
    "not reloaded: %s",
    "processes of this limiter: %d",
    "another process handed over",
    "suspended",
    "restored",
    "a suspension cannot be written yet",
    "invariant violated: %s",
    "rejected: ",
    "leased ",
    "warming up ",
    "ejected ",
    "; load ",
    "admit rate ",
    "completion rate ",
    "counter unavailable",
    "connections: %s; open %d",
    "counter calls: %s",
    "client connections: %s; open %d",
    "attempts and health checks: %s",
    "discovery watch: %s",
    "endpoint list: %s",
    ": slow start",
    "body stream to or from %s stalled",
    "a client took nothing of its",
)
START_TIMEOUT = 20.0  # seconds: generous, only a hang takes this long
# What a module of each layer may import of the package.
ALLOWED_IMPORTS = {
    "model": ("model",),
    "state": ("state", "model", "arithmetic"),
    "decisions": ("decisions", "state", "model", "arithmetic"),
    "net": ("net", "model"),
}

NETWORK_PACKAGES = (
    "admin",
    "client",
    "common",
    "counter",
    "discovery",
    "dispatch",
    "process_group",
    "upstream",
)
# What a module of a network package may import beside its own package, where it is not ``common`` alone.
ALLOWED_NETWORK_IMPORTS = {"common": (), "dispatch": NETWORK_PACKAGES}


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_paths_on_a_page_exist(page: Path) -> None:
    missing = [path for path in PATH_PATTERN.findall(page.read_text()) if not (ROOT / path).exists()]
    assert missing == []


def test_classes_on_the_architecture_page_exist() -> None:
    sources = [path.read_text() for path in (ROOT / "quota_gateway").rglob("*.py")]
    defined = {name for source in sources for name in re.findall(r"^class (\w+)", source, re.MULTILINE)}
    named = set(CLASS_PATTERN.findall(ARCHITECTURE.read_text()))
    assert len(named) > 20
    assert named - defined == set()


@pytest.fixture(scope="module")
def package_texts() -> list[str]:
    """All string constants of the package, parts of formatted strings included."""
    sources = [path.read_text() for path in (ROOT / "quota_gateway").rglob("*.py")]
    nodes = (node for source in sources for node in ast.walk(ast.parse(source)))
    return [node.value for node in nodes if isinstance(node, ast.Constant) and isinstance(node.value, str)]


@pytest.mark.parametrize("text", QUOTED_LOG_TEXTS)
def test_a_quoted_log_text_is_in_the_code_and_on_a_page(text: str, package_texts: list[str]) -> None:
    assert any(text in constant for constant in package_texts)
    quoted = re.split(r"%[sd]", text)[0].strip(" :;")
    assert any(quoted in page.read_text() for page in (README, ROOT / "docs" / "ON-CALL.md"))


def test_the_readme_explains_every_rejection_reason_and_no_other() -> None:
    assert sorted(REASON_PATTERN.findall(README.read_text())) == sorted(model.RejectionReason)


def _imported_layers(source: str) -> set[str]:
    """The parts of the package that a module imports, by the first name below ``quota_gateway``."""
    layers = set[str]()
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.ImportFrom) and node.module == "quota_gateway":
            layers.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and (node.module or "").startswith("quota_gateway."):
            layers.add((node.module or "").split(".")[1])
        elif isinstance(node, ast.Import):
            layers.update(alias.name for alias in node.names if alias.name.startswith("quota_gateway"))
    return layers


@pytest.mark.parametrize("layer", ALLOWED_IMPORTS)
def test_layers_import_downwards_only(layer: str) -> None:
    modules = sorted((ROOT / "quota_gateway" / layer).rglob("*.py"))
    assert modules
    for module in modules:
        assert _imported_layers(module.read_text()) <= set(ALLOWED_IMPORTS[layer]), module.name


@pytest.mark.parametrize("package", NETWORK_PACKAGES)
def test_network_packages_import_downwards_only(package: str) -> None:
    allowed = {package, *ALLOWED_NETWORK_IMPORTS.get(package, ("common",))}
    modules = sorted((ROOT / "quota_gateway" / "net" / package).glob("*.py"))
    assert modules
    for module in modules:
        imported = set(re.findall(r"quota_gateway\.net\.(\w+)", module.read_text()))
        assert imported <= allowed, module.name


def test_every_network_module_is_in_a_package() -> None:
    net = ROOT / "quota_gateway" / "net"
    assert [path.name for path in net.glob("*.py")] == ["__init__.py"]
    assert {path.name for path in net.iterdir() if (path / "__init__.py").exists()} == set(NETWORK_PACKAGES)


def test_the_example_configuration_starts_a_limiter(tmp_path: Path) -> None:
    found = re.search(r"```json\n(.*?)```", README.read_text(), re.DOTALL)
    assert found
    config = json.loads(found.group(1))
    # Any free port, and addresses where nothing listens: the ports of the example may be in use.
    config |= {
        "listen": "127.0.0.1:0",
        "mgmt": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "counter": "127.0.0.1:1",
    }
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config))
    environment = {**os.environ, "LB_CONFIG": str(path), "TMPDIR": str(tmp_path)}
    process = subprocess.Popen(
        [sys.executable, "-m", "quota_gateway"],
        cwd=ROOT,
        env=environment,
        stderr=subprocess.PIPE,
        text=True,
    )
    try:
        assert process.stderr is not None
        first_line = process.stderr.readline()
        process.send_signal(signal.SIGTERM)
        process.communicate(timeout=START_TIMEOUT)
    finally:
        process.kill()
        process.wait()
    assert " ready: gateway 0 of 1, " in first_line
    assert process.returncode == 0
