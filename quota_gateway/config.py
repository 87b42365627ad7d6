"""The configuration of one limiter process: the JSON file and the environment variables, as typed records."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple, Self

from quota_gateway import model
from quota_gateway.net.common.http_common import split_address
from quota_gateway.net.discovery.watch_event import WatchEvent, parse_watch_event
from quota_gateway.settings_parser import Timing, parse_settings, parse_timing

DEFAULT_MAX_DESCRIPTORS = 1024  # the usual limit of a process
DEFAULT_MAX_MEMORY_MB = 192
BYTES_PER_MEGABYTE = 2**20
SEED_BASE = 16  # the seed is written in hexadecimal


class ConfigError(Exception):
    """The configuration cannot be read or used; the message names the problem."""


class ConfigUnreadableError(ConfigError):
    """The operating system could not read the file; its content is unknown."""


class Address(NamedTuple):
    """A TCP address."""

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class Environment:
    """The environment variables that configure a process, as read at its start."""

    config_path: str = ""  # LB_CONFIG: the configuration file
    admin_address: str = ""  # LB_MGMT: takes precedence over the file, which several processes may share
    name: str = ""  # LB_NAME: the limiter's name if the file has none
    listen_fd: str = ""  # LB_LISTEN_FD: descriptor of an inherited listening socket
    # TMPDIR: parent of the directory that the processes of one limiter share
    shared_directory: str | None = None

    @classmethod
    def from_variables(cls, variables: Mapping[str, str]) -> Self:
        """Read the variables from ``os.environ`` or a mapping like it."""
        return cls(
            config_path=variables.get("LB_CONFIG", ""),
            admin_address=variables.get("LB_MGMT", ""),
            name=variables.get("LB_NAME", ""),
            listen_fd=variables.get("LB_LISTEN_FD", ""),
            shared_directory=variables.get("TMPDIR"),
        )


@dataclass(frozen=True, slots=True)
class Config:
    """One configuration file, completed by the environment."""

    listen: Address  # where clients connect
    discovery: Address
    counter: Address | None  # the shared counter
    admin: Address | None  # where operators connect; without it the limiter has no process group
    name: str
    seed: int  # seed of the random number generators
    max_descriptors: int  # file descriptors that the process may have open
    max_memory_bytes: int  # memory of all processes of the limiter together
    initial_endpoints: WatchEvent | None  # the endpoint list to start with, until discovery responds
    settings: model.Settings
    timing: Timing
    # The settings object as read from the file; a reload is checked against it.
    raw_settings: dict[str, Any] = field(repr=False, compare=False)


def load_config(environment: Environment) -> Config:
    """Load the file that the environment names; raise ``ConfigError`` if it cannot be read or used."""
    path = environment.config_path
    if not path:
        raise ConfigError("LB_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file)
    except OSError as error:
        raise ConfigUnreadableError(f"cannot read {path}: {error}") from None
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"cannot parse {path} as JSON: {error}") from None
    return parse_config(raw, environment)


def parse_config(raw: Any, environment: Environment) -> Config:
    """Convert a parsed configuration file; raise ``ConfigError`` if it is not valid."""
    if not isinstance(raw, dict) or not isinstance(raw.get("settings"), dict):
        raise ConfigError("the configuration must be a JSON object with an object under the key settings")
    try:
        return _config_from(raw, environment)
    except (ValueError, TypeError, AttributeError, OverflowError) as error:
        raise ConfigError(str(error)) from None


def _config_from(raw: dict[str, Any], environment: Environment) -> Config:
    limits = raw.get("limits") or {}
    return Config(
        listen=_parse_address(str(raw.get("listen"))),
        discovery=_parse_address(str(raw.get("discovery"))),
        counter=_parse_address(str(raw["counter"])) if raw.get("counter") else None,
        admin=_parse_optional_address(environment.admin_address or raw.get("mgmt")),
        name=str(raw.get("name") or environment.name),
        seed=int(str(raw.get("seed") or "0"), SEED_BASE),
        max_descriptors=int(limits.get("sockets") or DEFAULT_MAX_DESCRIPTORS),
        max_memory_bytes=int(limits.get("memory_mb") or DEFAULT_MAX_MEMORY_MB) * BYTES_PER_MEGABYTE,
        initial_endpoints=parse_watch_event(raw["known"]) if raw.get("known") else None,
        settings=parse_settings(raw["settings"]),
        timing=parse_timing(raw["settings"]),
        raw_settings=raw["settings"],
    )


def _parse_address(text: str) -> Address:
    return Address(*split_address(text))


def _parse_optional_address(text: Any) -> Address | None:
    return _parse_address(text) if text else None
