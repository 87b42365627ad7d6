"""Encoder and decoder of the handover file: the state that an old process passes to a new one, as JSON.

The keys are part of the file format, independent of the field names in the code: processes of different
versions exchange these files during an upgrade. Times are Unix times in seconds, rates are per second.
"""

from __future__ import annotations

import contextlib
import json
import math
from collections.abc import Iterator
from typing import Any

from quota_gateway import model

MAX_QUOTED_LENGTH = 40  # characters of a malformed value in an error text


class HandoverFormatError(ValueError):
    """A handover file is malformed; the text names the place, the value found and the form expected."""

    def __init__(self, *, location: str, found: str, expected: str) -> None:
        """``location`` is a path of keys and indices in the file, for example ``file.servers[0].born``."""
        super().__init__(f"{location}: expected {expected}, found {found}")
        self.location = location
        self.found = found
        self.expected = expected


def encode_handover(state: model.HandoverState, clock_offset: float) -> str:
    """Return the handover file's text; ``clock_offset`` is Unix time minus monotonic time."""
    return json.dumps(
        {
            "clock": clock_offset,
            "done_rate": state.completion_rate,
            "mean": state.mean_work,
            "units": state.mean_units,
            "bases": dict(state.base_latencies),
            "servers": [_encode_endpoint(endpoint) for endpoint in state.endpoints],
            "accounts": [_encode_account(account) for account in state.accounts],
        }
    )


def _encode_endpoint(endpoint: model.EndpointHandover) -> dict[str, Any]:
    return {
        "name": endpoint.name,
        "born": endpoint.started_at,
        "cold_at": endpoint.warming_since,
        "answers": endpoint.responses,
        "pace": endpoint.mean_slowdown,
        "slow": endpoint.slowdown,
        "rate": endpoint.work_rate,
    }


def _encode_account(account: model.AccountHandover) -> dict[str, Any]:
    return {
        "plan": account.plan,
        "account": account.account,
        "gateways": account.serving_gateways,
        "level": account.tokens,
        "floor": account.guaranteed_tokens,
        "ceiling": account.ceiling_tokens,
        "others": account.remote_usage_rate,
        "synced": account.last_synchronised,
        "total": account.counter_total,
    }


def decode_handover(data: bytes, clock_offset: float) -> model.HandoverState:
    """Decode a handover file; raise ``HandoverFormatError`` if it is malformed.

    Times are converted to this process's Unix time: the wall clock may have been stepped between the starts
    of the two processes, which share the monotonic clock. ``clock_offset`` is this process's Unix time minus
    its monotonic time.
    """
    try:
        document = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise HandoverFormatError(location="file", found=str(error), expected="JSON") from None
    root = _JsonObject(document, "file")
    # Processes of earlier versions write no clock.
    shift = clock_offset - root.number("clock") if root.has("clock") else 0.0
    endpoints = tuple(_decode_endpoint(endpoint, shift) for endpoint in root.objects("servers"))
    accounts = tuple(_decode_account(account, shift) for account in root.objects("accounts"))
    return model.HandoverState(
        base_latencies=root.numbers_by_name("bases"),
        completion_rate=max(0.0, root.number("done_rate")),
        mean_work=max(0.0, root.number("mean")),
        mean_units=max(0.0, root.number("units")),
        endpoints=endpoints,
        accounts=accounts,
    )


def _decode_endpoint(endpoint: _JsonObject, shift: float) -> model.EndpointHandover:
    warming_since = endpoint.optional_number("cold_at")
    return model.EndpointHandover(
        name=endpoint.text("name"),
        started_at=endpoint.number("born"),
        warming_since=None if warming_since is None else warming_since + shift,
        responses=int(endpoint.number("answers")),
        mean_slowdown=endpoint.number("pace"),
        slowdown=endpoint.number("slow"),
        work_rate=endpoint.number("rate"),
    )


def _decode_account(account: _JsonObject, shift: float) -> model.AccountHandover:
    return model.AccountHandover(
        plan=account.text("plan"),
        account=account.text("account"),
        serving_gateways=max(1, int(account.number("gateways"))),
        tokens=account.number("level"),
        guaranteed_tokens=account.number("floor"),
        ceiling_tokens=max(0.0, account.number("ceiling")),
        remote_usage_rate=account.number("others"),
        last_synchronised=account.number("synced") + shift,
        counter_total=account.optional_number("total"),
    )


class _JsonObject:
    """A JSON object and its location; accessors raise ``HandoverFormatError`` for a wrong type."""

    __slots__ = ("_location", "_members")

    def __init__(self, members: Any, location: str) -> None:
        self._members = members
        self._location = location

    def has(self, key: str) -> bool:
        """Whether the object has a key."""
        return isinstance(self._members, dict) and key in self._members

    def text(self, key: str) -> str:
        """Return the value as text, whatever its type."""
        return str(self._value(key))

    def number(self, key: str) -> float:
        """Return a finite number."""
        return _finite_number(self._value(key), self._location_of(key))

    def optional_number(self, key: str) -> float | None:
        """Return a finite number, or None for null."""
        return None if self._value(key) is None else self.number(key)

    def numbers_by_name(self, key: str) -> dict[str, float]:
        """Return an object whose values are finite numbers."""
        location = self._location_of(key)
        members = self._value(key)
        if not isinstance(members, dict):
            raise HandoverFormatError(location=location, found=_quote(members), expected="an object")
        return {str(name): _finite_number(value, f"{location}.{name}") for name, value in members.items()}

    def objects(self, key: str) -> Iterator[_JsonObject]:
        """Yield the elements of an array of objects."""
        values = self._value(key)
        location = self._location_of(key)
        try:
            numbered = enumerate(values)
        except TypeError:
            raise HandoverFormatError(location=location, found=_quote(values), expected="an array") from None
        for index, value in numbered:
            yield _JsonObject(value, f"{location}[{index}]")

    def _value(self, key: str) -> Any:
        try:
            return self._members[key]
        except KeyError:
            location = self._location_of(key)
            raise HandoverFormatError(location=location, found="no such key", expected="a value") from None
        except TypeError:
            found = _quote(self._members)
            raise HandoverFormatError(location=self._location, found=found, expected="an object") from None

    def _location_of(self, key: str) -> str:
        return f"{self._location}.{key}"


def _finite_number(value: Any, location: str) -> float:
    number = math.nan
    if isinstance(value, int | float) and not isinstance(value, bool):
        with contextlib.suppress(OverflowError):  # raised for an integer that exceeds the range of a float
            number = float(value)
    if not math.isfinite(number):
        raise HandoverFormatError(location=location, found=_quote(value), expected="a finite number")
    return number


def _quote(value: Any) -> str:
    return f"{value!r:.{MAX_QUOTED_LENGTH}}"
