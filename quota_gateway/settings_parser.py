"""The settings object of the wire and of the configuration, as typed records."""

from __future__ import annotations

import math
from dataclasses import dataclass, replace
from typing import Any, TypeVar

from quota_gateway import model

EFFECT = {
    "idempotent": model.Idempotency.INHERENT,
    "deduplicated": model.Idempotency.KEYED,
    "at_most_once": model.Idempotency.NONE,
}
SCOPE = {scope.value: scope for scope in model.DeduplicationScope}
AGENT_SHARE = 0.3  # of the time that a drain leaves
T = TypeVar("T")


class SettingsError(ValueError):
    """A settings object that cannot be read."""


@dataclass(frozen=True, slots=True)
class Timing:
    """What the sockets need of the settings and the decisions do not."""

    dial_timeout: float
    conn_idle: float
    callers: int = 1  # limiters whose calls to discovery wait for each other: one, where it pushes
    # Seconds until a call to discovery is given up, and at most from the begin of one to that of the next
    # (``net.discovery`` says why). Where it pushes, its agent answers at once and at no cost, and what it has
    # counts as told: both are parts of what a drain leaves.
    answer: float = 3.0
    call_again: float = 4.5


def _word(table: dict[str, T], what: str, word: object) -> T:
    if not isinstance(word, str) or word not in table:
        raise SettingsError(f"settings: {what}: unknown word {word!r:.60}")
    return table[word]


def _section(owner: dict[str, Any], key: str) -> dict[str, Any]:
    value = owner.get(key)
    if value is None:
        return {}
    if not isinstance(value, dict):
        raise SettingsError(f"settings: {key} is not an object")
    return value


def _number(owner: dict[str, Any], key: str, missing: float = 0.0) -> float:
    value = owner.get(key)
    if value is None:
        return missing
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise SettingsError(f"settings: {key} has the wrong type: {value!r:.60}")
    return float(value)


def _rows(owner: dict[str, Any], key: str) -> list[dict[str, Any]]:
    rows = owner.get(key) or []
    if not isinstance(rows, list) or not all(
        isinstance(row, dict) and isinstance(row.get("name"), str) for row in rows
    ):
        raise SettingsError(f"settings: {key} is not a list of named objects")
    return rows


def settings_from(raw: dict[str, Any]) -> model.Settings:
    """The settings object as the module's settings."""
    limits, contract = _section(raw, "limits"), _section(raw, "contract")
    specifics, report = _section(raw, "specifics"), _section(raw, "report")
    classes = tuple(
        model.RequestClass(
            name=row["name"],
            latency_objective=_number(row, "aim_s"),
            priority_weight=_number(row, "worth", 1.0),
            idempotency=_word(EFFECT, "effect", row.get("effect", "at_most_once")),
            late_weight=_number(row, "late_worth"),
            deduplication_scope=_word(SCOPE, "group", row.get("group") or "all"),
            deduplication_window=_number(row, "window_s"),
            deadline=_number(row, "hard_limit_s"),
        )
        for row in _rows(raw, "classes")
    )
    plans = tuple(
        model.Plan(
            name=row["name"],
            price=_number(row, "price", 1.0),
            rate=_number(row, "quota_rate"),
            burst=_number(row, "store_size"),
            concurrency_limit=int(_number(row, "parallel")),
            over_quota_value=_number(row, "over_worth"),
            over_quota_cost=_number(row, "over_cost"),
            ceiling_rate=_number(row, "never_over_rate"),
            ceiling_burst=_number(row, "hard_burst"),
        )
        for row in _rows(raw, "tariffs")
    )
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
        load_in_health_check=report.get("how") == "on_probe",
        has_counter=bool(specifics.get("has_counter")),
        counter_timeout=_number(specifics, "count_wait_s"),
        max_units=_number(specifics, "max_units", 1.0),
        max_retry_after=_number(limits, "max_retry_after_s") if limits.get("retry_after") else 0.0,
        initial_capacity=_number(contract, "cold_from", 1.0),
        warm_up_time=_number(contract, "warm_after_s"),
        overload_multiple=_number(contract, "fall_multiple", 1.0),
        overload_window=_number(contract, "fall_s", 1.0),
    )


def timing_from(raw: dict[str, Any]) -> Timing:
    """The connection times of the settings object."""
    limits = _section(raw, "limits")
    callers = max(1, int(_number(raw, "n_instances", 1))) if raw.get("discovery") == "ask" else 1
    timing = Timing(_number(limits, "dial_timeout_s", 0.25), _number(limits, "conn_idle_s", 30.0), callers)
    if raw.get("discovery") != "ask":
        part = AGENT_SHARE * (_number(_section(raw, "contract"), "stop_sending_within_s") or 1.0)
        timing = replace(timing, answer=part, call_again=2 * part)
    if timing.dial_timeout <= 0 or timing.conn_idle <= 0:
        raise SettingsError("settings: dial_timeout_s and conn_idle_s must be above 0")
    return timing


def check_retuned(raw: dict[str, Any], running: dict[str, Any]) -> None:
    """``SettingsError`` unless new settings are whole: they hold every key of the running ones.

    A start makes do with less; but what a running limiter is told has the form that it started with, and
    a key that is missing then means a file that was cut or mangled, of which nothing can be trusted.
    """
    for key, value in running.items():
        if key not in raw:
            raise SettingsError(f"settings: {key} is missing")
        if isinstance(value, dict):
            check_retuned(_section(raw, key), value)
        elif isinstance(value, list) and any(isinstance(row, dict) for row in value):
            rows = [row for row in value if isinstance(row, dict)]
            common = {
                name: None for name in rows[0] if name != "aim_stretch" and all(name in r for r in rows)
            }
            fresh = raw[key]
            if not isinstance(fresh, list) or not fresh:
                raise SettingsError(f"settings: {key} is not a list, or empty")
            for row in fresh:
                if not isinstance(row, dict):
                    raise SettingsError(f"settings: {key} is not a list of objects")
                check_retuned(row, common)
    _positive(raw)


def _positive(raw: dict[str, Any]) -> None:
    """What must be above 0 where it stands: aims, deadlines, and the attempts allowed."""
    for key in ("aim_s", "hard_limit_s", "max_attempts"):
        if key in raw and _number(raw, key) <= 0:
            raise SettingsError(f"settings: {key} must be above 0")
