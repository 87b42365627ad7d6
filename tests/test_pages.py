"""Documentation pages: the paths, names, log texts and example configuration on them must match the code.

Also checks that the packages import each other only in the permitted direction.
"""

from __future__ import annotations

import ast
import builtins
import json
import os
import re
import signal
import subprocess
import sys
from dataclasses import fields
from pathlib import Path

import pytest

from quota_gateway import model
from quota_gateway.model import CallStatus
from quota_gateway.model.rejection import EjectionCause
from quota_gateway.net.client.stats import CloseReason
from quota_gateway.net.common import invariants
from quota_gateway.net.counter import stats as counter_stats
from quota_gateway.net.discovery.watch_log import WatchOutcome
from quota_gateway.net.upstream.endpoint_table import Transition
from quota_gateway.net.upstream.stats import ConnectionStats
from soak import fault_kinds, violations

ROOT = Path(__file__).parent.parent
README = ROOT / "README.md"
ARCHITECTURE = ROOT / "docs" / "ARCHITECTURE.md"
PROMISES = ROOT / "docs" / "PROMISES.md"
KNOWN_ISSUES = ROOT / "docs" / "KNOWN-ISSUES.md"
INCIDENTS = tuple(sorted((ROOT / "docs" / "incidents").glob("*.md")))
PAGES = (README, *sorted((ROOT / "docs").rglob("*.md")))
PAGES_NAMING_CODE = (ARCHITECTURE, PROMISES, KNOWN_ISSUES, *INCIDENTS)
CODE_FOLDERS = ("quota_gateway", "soak", "scale", "tests")
PATH_PATTERN = re.compile(r"`((?:quota_gateway|scale|soak|tests|docs|deploy|journal|\.ci)/[^`\s]*)`")
# A class name of at least two words: a single capitalized word may be an ordinary word or a value.
CLASS_PATTERN = re.compile(r"`((?:[A-Z][a-z]+){2,})`")
# A class name of any length, for pages that put no ordinary words in backticks.
CAPITALIZED_PATTERN = re.compile(r"`([A-Z]+[a-z]\w*)`")
# ``Class.member`` or ``module.name``, optionally preceded by packages and followed by arguments.
DOTTED_PATTERN = re.compile(r"`((?:\w+\.)+[A-Za-z_]\w*)(?:\([^`]*\))?`")
FILE_SUFFIXES = ("json", "md", "py", "toml", "txt")
CONSTANT_PATTERN = re.compile(r"`([A-Z]+(?:_[A-Z0-9]+)+)`")
ENVIRONMENT_PREFIX = "LB_"
# Dotted names with these prefixes are metrics or configuration keys and not names in the code.
WIRE_PREFIXES = ("app.", "limits.")
BARE_NAME_PATTERN = re.compile(r"`([a-z_]+)`")
SOAK_NAMES_PATTERN = re.compile(r"soak: ((?:`\w+`(?:, )?)+)")
REASON_PATTERN = re.compile(r"^\| `([a-z ]+)` \|", re.MULTILINE)
# Log texts that README or the on-call page quotes. Whoever changes a text must change the page as well.
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
    "starting with endpoint list %s",
    "first event, endpoint list version %d",
    "starting without contact to discovery",
    "fetched after a stall",
    ": slow start",
    "body stream to or from %s stalled",
    "a client accepted no data of its",
    "a request was answered %d in place of the decisions",
    "the decisions failed on",
    "a request could not be handled",
    "out of client connections",
    "in service -> ejected",
    "dropped a malformed line of discovery",
    "the counter does not reply, reconnecting",
    "no connection to the counter",
    "cannot look for another process",
    "cannot look at another process",
    "cannot join the other processes yet",
    "nothing can be shared with another process",
    "configuration reloaded",
    "shutting down",
    "responses are still being written",
    "ending with %d responses cut off",
    "; answered %d",
)
EXIT_TIMEOUT = 20.0  # seconds; only a hung process takes this long
# Maps each layer to the parts of ``quota_gateway`` that its modules may import.
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
# Maps a network package to the other network packages that its modules may import. Modules of a package that
# is not in the map may import only ``common``.
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


class _DefinedNames:
    """The names that the code of the repository defines: classes, their members, and names in modules."""

    def __init__(self) -> None:
        self.classes: set[str] = set()
        self._members: dict[str, set[str]] = {}  # key: class name
        self._bases: dict[str, set[str]] = {}  # key: class name
        self._modules: dict[str, set[str]] = {}  # key: dotted module name
        for folder in CODE_FOLDERS:
            for path in (ROOT / folder).rglob("*.py"):
                self._add_module(path)

    def _add_module(self, path: Path) -> None:
        tree = ast.parse(path.read_text())
        module = ".".join(path.relative_to(ROOT).with_suffix("").parts)
        self._modules[module] = _names_defined_in(tree.body)
        for node in tree.body:
            if isinstance(node, ast.ClassDef):
                self.classes.add(node.name)
                members = self._members.setdefault(node.name, set())
                members |= _names_defined_in(node.body) | _assigned_attributes(node)
                bases = self._bases.setdefault(node.name, set())
                bases |= {base.id for base in node.bases if isinstance(base, ast.Name)}

    def _members_of(self, class_name: str) -> set[str]:
        inherited = (self._members_of(base) for base in self._bases.get(class_name, ()))
        return self._members.get(class_name, set()).union(*inherited)

    @property
    def module_names(self) -> set[str]:
        """All names that modules define at their top level."""
        return set[str]().union(*self._modules.values())

    def defines(self, dotted_name: str) -> bool:
        """Whether the class or module in front of the last dot defines the name that follows the dot."""
        owner, _, name = dotted_name.rpartition(".")
        if owner.rpartition(".")[2] in self.classes:
            return name in self._members_of(owner.rpartition(".")[2])
        return any(
            name in names
            for module, names in self._modules.items()
            if module == owner or module.endswith(f".{owner}")
        )


def _names_defined_in(body: list[ast.stmt]) -> set[str]:
    names = set[str]()
    for node in body:
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef | ast.ClassDef):
            names.add(node.name)
        elif isinstance(node, ast.AnnAssign) and isinstance(node.target, ast.Name):
            names.add(node.target.id)
        elif isinstance(node, ast.Assign):
            names |= {target.id for target in node.targets if isinstance(target, ast.Name)}
    return names


def _assigned_attributes(class_node: ast.ClassDef) -> set[str]:
    """Return the attributes that the methods of a class assign to ``self``."""
    return {
        node.attr
        for node in ast.walk(class_node)
        if isinstance(node, ast.Attribute)
        and isinstance(node.ctx, ast.Store)
        and isinstance(node.value, ast.Name)
        and node.value.id == "self"
    }


@pytest.fixture(scope="module")
def defined_names() -> _DefinedNames:
    return _DefinedNames()


@pytest.mark.parametrize("page", PAGES_NAMING_CODE, ids=lambda page: page.name)
def test_classes_on_a_page_exist(page: Path, defined_names: _DefinedNames) -> None:
    named = set(CAPITALIZED_PATTERN.findall(page.read_text()))
    assert named - defined_names.classes - set(dir(builtins)) == set()


@pytest.mark.parametrize("page", PAGES_NAMING_CODE, ids=lambda page: page.name)
def test_methods_and_functions_on_a_page_exist(page: Path, defined_names: _DefinedNames) -> None:
    named = {
        name
        for name in DOTTED_PATTERN.findall(page.read_text())
        if not name.startswith(WIRE_PREFIXES) and name.rpartition(".")[2] not in FILE_SUFFIXES
    }
    assert named
    assert {name for name in named if not defined_names.defines(name)} == set()


@pytest.mark.parametrize("page", PAGES_NAMING_CODE, ids=lambda page: page.name)
def test_constants_on_a_page_exist(page: Path, defined_names: _DefinedNames) -> None:
    named = {
        name for name in CONSTANT_PATTERN.findall(page.read_text()) if not name.startswith(ENVIRONMENT_PREFIX)
    }
    assert named - defined_names.module_names == set()


def _guarantee_rows() -> list[list[str]]:
    """Return the cells of each table row on the page of guarantees, without the header rows."""
    lines = [line for line in PROMISES.read_text().splitlines() if line.startswith("| ")]
    rows = [line.strip("|").split("|") for line in lines]
    return [row for row in rows if row[0].strip() != "guarantee (page)" and "---" not in row[0]]


def test_guarantees_page_names_every_invariant_and_no_other_as_a_guard() -> None:
    guards = [row[2] for row in _guarantee_rows()]
    assert len(guards) > 30
    assert {name for guard in guards for name in BARE_NAME_PATTERN.findall(guard)} == set(
        invariants.Invariant
    )


def test_soak_invariants_and_faults_on_the_guarantees_page_exist() -> None:
    lists = [names for row in _guarantee_rows() for names in SOAK_NAMES_PATTERN.findall(row[3])]
    named = {name for names in lists for name in BARE_NAME_PATTERN.findall(names)}
    assert len(named) > 20
    assert named - set(violations.Invariant) - set(fault_kinds.FaultKind) == set()


@pytest.fixture(scope="module")
def package_strings() -> list[str]:
    """Return all string constants of ``quota_gateway``, including the literal parts of f-strings."""
    sources = [path.read_text() for path in (ROOT / "quota_gateway").rglob("*.py")]
    nodes = (node for source in sources for node in ast.walk(ast.parse(source)))
    return [node.value for node in nodes if isinstance(node, ast.Constant) and isinstance(node.value, str)]


@pytest.mark.parametrize("text", QUOTED_LOG_TEXTS)
def test_quoted_log_text_is_in_the_code_and_on_a_page(text: str, package_strings: list[str]) -> None:
    assert any(text in constant for constant in package_strings)
    quoted = re.split(r"%[sd]", text)[0].strip(" :;")
    assert any(quoted in page.read_text() for page in (README, ROOT / "docs" / "ON-CALL.md"))


def test_readme_explains_every_rejection_reason_and_no_other() -> None:
    assert sorted(REASON_PATTERN.findall(README.read_text())) == sorted(model.RejectionReason)


# Maps the prefix of a log line with event counts to the names of the counted events. The README has one table
# row for each of these log lines, which has to explain all of its events.
COUNTED_EVENTS: dict[str, list[str]] = {
    "rejected": list(EjectionCause),
    "connections": [field.name.replace("_", " ") for field in fields(ConnectionStats)],
    "counter calls": [
        *(status.name.lower() for status in (CallStatus.OK, CallStatus.TIMEOUT, CallStatus.MALFORMED)),
        counter_stats.MALFORMED_LINES,
        counter_stats.CONNECTIONS_CLOSED,
        counter_stats.FAILOVERS,
    ],
    "client connections": [reason.removeprefix("aborted: ") for reason in CloseReason],
    "attempts and health checks": [
        status.value for status in CallStatus if status is not CallStatus.MALFORMED
    ],
    "discovery watch": list(WatchOutcome),
    "endpoint list": list(Transition),
}


@pytest.mark.parametrize("line", COUNTED_EVENTS)
def test_readme_explains_every_event_that_a_log_line_counts(line: str) -> None:
    rows = [row for row in README.read_text().splitlines() if row.startswith(f"| `{line}: ...` |")]
    assert len(rows) == 1
    assert [event for event in COUNTED_EVENTS[line] if f"`{event}`" not in rows[0]] == []


def _imported_layers(source: str) -> set[str]:
    """Return the modules and packages directly below ``quota_gateway`` that a module imports from."""
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
def test_layer_imports_only_permitted_layers(layer: str) -> None:
    modules = sorted((ROOT / "quota_gateway" / layer).rglob("*.py"))
    assert modules
    for module in modules:
        assert _imported_layers(module.read_text()) <= set(ALLOWED_IMPORTS[layer]), module.name


@pytest.mark.parametrize("package", NETWORK_PACKAGES)
def test_network_package_imports_only_permitted_packages(package: str) -> None:
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


def test_example_configuration_starts_a_limiter(tmp_path: Path) -> None:
    found = re.search(r"```json\n(.*?)```", README.read_text(), re.DOTALL)
    assert found
    config = json.loads(found.group(1))
    # The ports of the example may be in use, so the limiter listens at any free port. Nothing listens at the
    # addresses of discovery and the counter.
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
        ready_line = next(line for line in process.stderr if " ready: " in line)
        process.send_signal(signal.SIGTERM)
        process.communicate(timeout=EXIT_TIMEOUT)
    finally:
        process.kill()
        process.wait()
    assert " starting with endpoint list 41 of the configuration" in first_line
    assert " ready: gateway 0 of 1, " in ready_line
    assert process.returncode == 0
