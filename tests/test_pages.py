"""The pages agree with the code: paths, names, rejection reasons, layers, example configuration."""

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
# Names of at least two words: one word alone may be an ordinary one or a value.
CLASS_PATTERN = re.compile(r"`((?:[A-Z][a-z]+){2,})`")
# A class, on pages that put no ordinary word in backticks.
CAPITALIZED_PATTERN = re.compile(r"`([A-Z]+[a-z]\w*)`")
# ``Class.member``, ``module.name``, or either with the packages before it, with or without arguments.
DOTTED_PATTERN = re.compile(r"`((?:\w+\.)+[A-Za-z_]\w*)(?:\([^`]*\))?`")
FILE_SUFFIXES = ("json", "md", "py", "toml", "txt")
CONSTANT_PATTERN = re.compile(r"`([A-Z]+(?:_[A-Z0-9]+)+)`")
ENVIRONMENT_PREFIX = "LB_"
# Names of the configuration and the metrics, which belong to the wire.
WIRE_PREFIXES = ("app.", "limits.")
BARE_NAME_PATTERN = re.compile(r"`([a-z_]+)`")
SOAK_NAMES_PATTERN = re.compile(r"soak: ((?:`\w+`(?:, )?)+)")
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
    "; answered %d",
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


class _DefinedNames:
    """The classes of the repository with their members, and the names that each module defines."""

    def __init__(self) -> None:
        self.classes: set[str] = set()
        self._members: dict[str, set[str]] = {}  # by class name
        self._bases: dict[str, set[str]] = {}  # by class name
        self._modules: dict[str, set[str]] = {}  # by dotted path
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
        """What any module defines at its top level."""
        return set[str]().union(*self._modules.values())

    def has(self, dotted_name: str) -> bool:
        """Whether the last part is defined by the class or module that the parts before it name."""
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
    """The attributes that the methods of a class assign to ``self``."""
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
    assert {name for name in named if not defined_names.has(name)} == set()


@pytest.mark.parametrize("page", PAGES_NAMING_CODE, ids=lambda page: page.name)
def test_constants_on_a_page_exist(page: Path, defined_names: _DefinedNames) -> None:
    named = {
        name for name in CONSTANT_PATTERN.findall(page.read_text()) if not name.startswith(ENVIRONMENT_PREFIX)
    }
    assert named - defined_names.module_names == set()


def _guarantee_rows() -> list[list[str]]:
    """The cells of the rows on the page of guarantees, without the heads of its tables."""
    lines = [line for line in PROMISES.read_text().splitlines() if line.startswith("| ")]
    rows = [line.strip("|").split("|") for line in lines]
    return [row for row in rows if row[0].strip() != "guarantee (page)" and "---" not in row[0]]


def test_the_guards_of_the_guarantees_count_every_invariant_and_no_other() -> None:
    guards = [row[2] for row in _guarantee_rows()]
    assert len(guards) > 30
    assert {name for guard in guards for name in BARE_NAME_PATTERN.findall(guard)} == set(
        invariants.Invariant
    )


def test_invariants_and_faults_of_the_soak_test_that_check_a_guarantee_exist() -> None:
    lists = [names for row in _guarantee_rows() for names in SOAK_NAMES_PATTERN.findall(row[3])]
    named = {name for names in lists for name in BARE_NAME_PATTERN.findall(names)}
    assert len(named) > 20
    assert named - set(violations.Invariant) - set(fault_kinds.FaultKind) == set()


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


# The words in the log lines that count events; the README explains each in the row of its line.
COUNTED_WORDS: dict[str, list[str]] = {
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


@pytest.mark.parametrize("line", COUNTED_WORDS)
def test_the_readme_explains_every_word_that_a_log_line_counts(line: str) -> None:
    rows = [row for row in README.read_text().splitlines() if row.startswith(f"| `{line}: ...` |")]
    assert len(rows) == 1
    assert [word for word in COUNTED_WORDS[line] if f"`{word}`" not in rows[0]] == []


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
