"""The parser of the settings object, which the configuration file and the simulator's protocol share.

The keys are those of the protocol pages. The parser maps them to the names that the code uses.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, replace
from typing import Any, TypeVar

from quota_gateway import model

IDEMPOTENCY_BY_EFFECT = {
    "idempotent": model.Idempotency.INHERENT,
    "deduplicated": model.Idempotency.KEYED,
    "at_most_once": model.Idempotency.NONE,
}
SCOPE_BY_GROUP = {scope.value: scope for scope in model.DeduplicationScope}
POLLED_DISCOVERY = "ask"  # value of the key ``discovery`` if limiters poll it; with any other value it pushes
DEFAULT_CONNECT_TIMEOUT_SECONDS = 0.25
DEFAULT_IDLE_TIMEOUT_SECONDS = 30.0
DEFAULT_DRAIN_NOTICE_SECONDS = 1.0  # time after which a draining endpoint must get no new requests
AGENT_TIMEOUT_FRACTION = 0.3  # two calls to discovery's local agent fit into the drain notice
OPTIONAL_CLASS_KEY = "aim_stretch"  # not read; some platforms omit it from the classes of new settings
POSITIVE_KEYS = ("aim_s", "hard_limit_s", "max_attempts")  # must be above 0 in reloaded settings
T = TypeVar("T")


class SettingsError(ValueError):
    """A settings object is malformed; the message names the key."""


@dataclass(frozen=True, slots=True)
class Timing:
    """The settings that only the network modules need; times are in seconds."""

    connect_timeout: float  # timeout of a connection attempt to an endpoint
    idle_timeout: float  # time after which an endpoint closes an idle connection
    client_count: int = 1  # limiters whose polls discovery serves in turn; 1 if it pushes
    # The defaults of both limits apply if limiters poll discovery. If it pushes, its local agent replies at
    # once, and the limits are fractions of the drain notice.
    response_timeout: float = 3.0  # timeout of a call to discovery
    max_poll_interval: float = 4.5  # longest time from the start of one call to the start of the next
    is_pushed: bool = False  # whether discovery pushes to an agent on the limiter's machine


def parse_settings(raw: dict[str, Any]) -> model.Settings:
    """Return the settings of the decisions; ``SettingsError`` names a malformed key."""
    limits = _section(raw, "limits")
    contract = _section(raw, "contract")
    specifics = _section(raw, "specifics")
    load_report = _section(raw, "report")
    classes = tuple(_request_class(entry) for entry in _named_objects(raw, "classes"))
    plans = tuple(_plan(entry) for entry in _named_objects(raw, "tariffs"))
    return model.Settings(
        gateway_index=int(_number(raw, "me")),
        gateway_count=int(_number(raw, "n_instances", 1)),
        zone=str(raw.get("my_zone") or ""),
        classes=classes,
        plans=plans,
        max_attempts=int(_number(limits, "max_attempts", 1)),
        may_hedge=bool(limits.get("may_duplicate")),
        may_cancel=bool(limits.get("cancel")),
        may_check_health=bool(limits.get("probes")),
        load_in_health_check=load_report.get("how") == "on_probe",
        has_counter=bool(specifics.get("has_counter")),
        counter_timeout=_number(specifics, "count_wait_s"),
        max_units=_number(specifics, "max_units", 1.0),
        max_retry_after=_number(limits, "max_retry_after_s") if limits.get("retry_after") else 0.0,
        initial_capacity=_number(contract, "cold_from", 1.0),
        warm_up_time=_number(contract, "warm_after_s"),
        overload_multiple=_number(contract, "fall_multiple", 1.0),
        overload_window=_number(contract, "fall_s", 1.0),
    )


def _request_class(entry: dict[str, Any]) -> model.RequestClass:
    return model.RequestClass(
        name=entry["name"],
        latency_objective=_number(entry, "aim_s"),
        priority_weight=_number(entry, "worth", 1.0),
        idempotency=_map_value(IDEMPOTENCY_BY_EFFECT, "effect", entry.get("effect", "at_most_once")),
        late_weight=_number(entry, "late_worth"),
        deduplication_scope=_map_value(SCOPE_BY_GROUP, "group", entry.get("group") or "all"),
        deduplication_window=_number(entry, "window_s"),
        deadline=_number(entry, "hard_limit_s"),
    )


def _plan(entry: dict[str, Any]) -> model.Plan:
    return model.Plan(
        name=entry["name"],
        price=_number(entry, "price", 1.0),
        rate=_number(entry, "quota_rate"),
        burst=_number(entry, "store_size"),
        concurrency_limit=int(_number(entry, "parallel")),
        over_quota_value=_number(entry, "over_worth"),
        over_quota_cost=_number(entry, "over_cost"),
        ceiling_rate=_number(entry, "never_over_rate"),
        ceiling_burst=_number(entry, "hard_burst"),
    )


def parse_timing(raw: dict[str, Any]) -> Timing:
    """Return the network timing; ``SettingsError`` names a key that is malformed or not above 0."""
    limits = _section(raw, "limits")
    is_polled = raw.get("discovery") == POLLED_DISCOVERY
    client_count = max(1, int(_number(raw, "n_instances", 1))) if is_polled else 1
    timing = Timing(
        connect_timeout=_number(limits, "dial_timeout_s", DEFAULT_CONNECT_TIMEOUT_SECONDS),
        idle_timeout=_number(limits, "conn_idle_s", DEFAULT_IDLE_TIMEOUT_SECONDS),
        client_count=client_count,
    )
    if not is_polled:
        agent_timeout = _agent_timeout(raw)
        timing = replace(
            timing, is_pushed=True, response_timeout=agent_timeout, max_poll_interval=2 * agent_timeout
        )
    if timing.connect_timeout <= 0 or timing.idle_timeout <= 0:
        raise SettingsError("settings: dial_timeout_s and conn_idle_s must be above 0")
    return timing


def _agent_timeout(raw: dict[str, Any]) -> float:
    """Return the timeout of a call to the local agent of a discovery that pushes, in seconds."""
    drain_notice = _number(_section(raw, "contract"), "stop_sending_within_s")
    return AGENT_TIMEOUT_FRACTION * (drain_notice or DEFAULT_DRAIN_NOTICE_SECONDS)


def check_reloaded_settings(raw: dict[str, Any], running: dict[str, Any]) -> None:
    """Raise ``SettingsError`` unless new settings are complete: they have every key of the running ones.

    Keys are optional when a limiter starts. In new settings a missing key means that the file is truncated or
    corrupt, so none of it can be trusted.
    """
    for key, value in running.items():
        if key not in raw:
            raise SettingsError(f"settings: {key} is missing")
        if isinstance(value, dict):
            check_reloaded_settings(_section(raw, key), value)
        elif isinstance(value, list):
            running_objects = [item for item in value if isinstance(item, dict)]
            if running_objects:
                _check_objects(key, raw[key], running_objects)
    for key in POSITIVE_KEYS:
        if key in raw and _number(raw, key) <= 0:
            raise SettingsError(f"settings: {key} must be above 0")


def _check_objects(key: str, value: Any, running: list[dict[str, Any]]) -> None:
    """Raise ``SettingsError`` unless each object of a list has the keys that all running objects have."""
    required_keys = {
        name: None
        for name in running[0]
        if name != OPTIONAL_CLASS_KEY and all(name in item for item in running)
    }
    if not isinstance(value, list) or not value:
        raise SettingsError(f"settings: {key}: expected a list that is not empty")
    for item in value:
        if not isinstance(item, dict):
            raise SettingsError(f"settings: {key}: expected a list of objects")
        check_reloaded_settings(item, required_keys)


def _section(owner: dict[str, Any], key: str) -> dict[str, Any]:
    """Return the object under a key; an empty one if the key is missing."""
    value = owner.get(key)
    if value is None:
        return {}
    if not isinstance(value, dict):
        raise SettingsError(f"settings: {key}: expected an object")
    return value


def _named_objects(owner: dict[str, Any], key: str) -> list[dict[str, Any]]:
    """Return the list of objects under a key, each with a ``name``; an empty list if the key is missing."""
    items = owner.get(key) or []
    if not isinstance(items, list) or not all(
        isinstance(item, dict) and isinstance(item.get("name"), str) for item in items
    ):
        raise SettingsError(f"settings: {key}: expected a list of objects, each with a name")
    return items


def _number(owner: dict[str, Any], key: str, default: float = 0.0) -> float:
    """Return the finite number under a key, or the default if the key is missing."""
    value = owner.get(key)
    if value is None:
        return default
    try:
        number = float(value) if isinstance(value, int | float) and not isinstance(value, bool) else math.nan
    except OverflowError:  # raised for an integer that exceeds the range of a float
        number = math.nan
    if not math.isfinite(number):
        raise SettingsError(f"settings: {key}: expected a finite number, found {value!r:.60}")
    return number


def _map_value(mapping: dict[str, T], key: str, value: object) -> T:
    """Look up the value under a key; raise ``SettingsError`` if the mapping lacks it."""
    if not isinstance(value, str) or value not in mapping:
        raise SettingsError(f"settings: {key}: unknown value {value!r:.60}")
    return mapping[value]
