"""The simulator's protocol: validates and decodes messages into events, and encodes actions as commands.

The simulator defines the names of messages, commands and fields, and the order of the fields. This module
maps them to the names that the code uses.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple, TypeVar

from quota_gateway import model

RETRY_FLAG = 2  # bit mask for ``opts``; set if the request is a client's retry
DEFAULT_UNITS = 1.0  # cost in quota units of a request without ``price_units``
DEFAULT_WEIGHT = 1.0  # weight of an endpoint without ``size``

STATUSES = {
    "OK": model.CallStatus.OK,
    "INTERNAL": model.CallStatus.ERROR,
    "RESOURCE_EXHAUSTED": model.CallStatus.OVERLOADED,
    "DEADLINE_EXCEEDED": model.CallStatus.TIMEOUT,
    "UNAVAILABLE": model.CallStatus.UNREACHABLE,
    "ABORTED": model.CallStatus.RESET_AFTER_REQUEST,
    "CANCELLED": model.CallStatus.CANCELLED,
    "TOO_LATE": model.CallStatus.NOT_SENT,
}
HEALTH_STATES = {
    "healthy": model.EndpointHealth.HEALTHY,
    "cordoned": model.EndpointHealth.DRAINING,
    "deregistered": model.EndpointHealth.REMOVED,
}
# Maps the kind of a message ``membership`` to whether its endpoint list is complete. FAILED is not in the
# map because that kind has no list.
COMPLETE_BY_MEMBERSHIP_KIND = {"INCREMENTAL": False, "FULL": True, "SAVED": True}
FAILED_MEMBERSHIP_KIND = "FAILED"
T = TypeVar("T")
EndpointLists = dict[int, tuple[model.Endpoint, ...]]


class MalformedInputError(Exception):
    """The simulator sent malformed input; the text says where, usually with the message and the field."""


class Field(NamedTuple):
    """The name and allowed types of one field of a message."""

    name: str
    types: tuple[type, ...]
    optional: bool  # the value may be null; it may be omitted if all later values are omitted too


INTEGER = (int,)
NUMBER = (int, float)
STRING = (str,)
BOOLEAN = (bool,)
OBJECT = (dict,)
ARRAY = (list,)


def _required(name: str, types: tuple[type, ...]) -> Field:
    return Field(name, types, optional=False)


def _optional(name: str, types: tuple[type, ...]) -> Field:
    return Field(name, types, optional=True)


MESSAGE_FIELDS: dict[str, tuple[Field, ...]] = {
    "begin": (_required("salt", INTEGER), _required("settings", OBJECT)),
    "register": (_required("list", INTEGER), _required("lines", ARRAY)),
    "membership": (_required("how", STRING), _optional("list", INTEGER), _optional("index", INTEGER)),
    "incoming": (
        _required("id", INTEGER),
        _optional("profile", STRING),
        _optional("grade_of_service", STRING),
        _optional("ttl_s", NUMBER),
        _optional("opts", INTEGER),
        _optional("n_entries", NUMBER),
        _optional("set_from", NUMBER),
        _optional("account", STRING),
        _optional("price_units", NUMBER),
    ),
    "begun": (
        _required("id", INTEGER),
        _required("try", INTEGER),
        _required("server", STRING),
        _optional("rtt_s", NUMBER),
    ),
    "probe_result": (
        _required("server", STRING),
        _required("verdict", STRING),
        _optional("rtt_s", NUMBER),
        _optional("server_stats", OBJECT),
    ),
    "shutdown": (),
    "count_result": (
        _optional("rtt_s", NUMBER),
        _required("counter_key", INTEGER),
        _optional("total", NUMBER),
        _required("verdict", STRING),
    ),
    "timeout_fired": (_required("mark", INTEGER),),
    "left": (_required("id", INTEGER),),
    "resolved": (
        _required("id", INTEGER),
        _required("try", INTEGER),
        _required("server", STRING),
        _required("verdict", STRING),
        _optional("rtt_s", NUMBER),
        _optional("closed", BOOLEAN),
        _optional("used", INTEGER),
        _optional("actual", NUMBER),
        _optional("server_stats", OBJECT),
    ),
    "peer": (_required("sender", INTEGER), _optional("msg", STRING)),
}
# The fields of one entry of the endpoint list in a message ``register``.
ENDPOINT_FIELDS = (
    _optional("born_s", NUMBER),
    _optional("size", NUMBER),
    _optional("group", INTEGER),
    _optional("machine", STRING),
    _required("server", STRING),
    _required("health", STRING),
    _optional("dc", STRING),
)


def _unpack(message: str, fields: tuple[Field, ...], values: list[Any]) -> list[Any]:
    """Validate a message's values against its fields, and return them with None for each omitted value."""
    if len(values) > len(fields):
        raise MalformedInputError(f"{message}: expected at most {len(fields)} values, found {len(values)}")
    padded = values + [None] * (len(fields) - len(values))
    for value, (name, types, optional) in zip(padded, fields, strict=True):
        if value is None:
            if not optional:
                raise MalformedInputError(f"{message}: {name} is missing")
        elif not isinstance(value, types) or (isinstance(value, bool) and bool not in types):
            raise MalformedInputError(f"{message}: {name} has the wrong type: {value!r:.60}")
    return padded


def unpack_message(message: Any) -> tuple[str, list[Any]]:
    """Return a message's name and one value for each of its fields; a malformed message raises an error."""
    if not isinstance(message, list) or not message or not isinstance(message[0], str):
        raise MalformedInputError("message: expected an array that starts with the name of the message")
    name, *values = message
    fields = MESSAGE_FIELDS.get(name)
    if fields is None:
        raise MalformedInputError(f"unknown message {name!r:.60}")
    return name, _unpack(name, fields, values)


def _map_value(mapping: dict[str, T], message: str, protocol_value: str) -> T:
    """Look up a value of a message; raise ``MalformedInputError`` if the mapping lacks it."""
    try:
        return mapping[protocol_value]
    except KeyError:
        raise MalformedInputError(f"{message}: unknown value {protocol_value!r:.60}") from None


def decode_endpoint(entry: Any) -> model.Endpoint:
    """Decode one entry of a message ``register``; raise ``MalformedInputError`` if the entry is malformed."""
    if not isinstance(entry, list):
        raise MalformedInputError("register: an entry of the endpoint list: expected an array")
    born_s, size, group, _machine, server, health, zone = _unpack("register", ENDPOINT_FIELDS, entry)
    return model.Endpoint(
        name=server,
        health=_map_value(HEALTH_STATES, "register", health),
        zone=zone or "",
        cell=group or 0,
        weight=DEFAULT_WEIGHT if size is None else size,
        started_at=born_s or 0.0,
    )


def _decode_load_report(server_stats: dict[str, Any] | None) -> dict[str, float]:
    load_report: dict[str, float] = {}
    if not server_stats:
        return load_report
    for name, value in server_stats.items():
        if value is None:
            continue
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise MalformedInputError(f"server_stats: {name}: expected a number, found {value!r:.60}")
        load_report[name] = value
    return load_report


# The parameters of each decoder below are the message's values, in the order of ``MESSAGE_FIELDS``.


def _decode_incoming(
    request_id: int,
    profile: str | None,
    grade_of_service: str | None,
    ttl_s: float | None,
    opts: int | None,
    n_entries: float | None,
    _set_from: float | None,
    account: str | None,
    price_units: float | None,
) -> model.Request:
    return model.Request(
        id=request_id,
        request_class=profile or "",
        plan=grade_of_service or "",
        timeout=ttl_s or 0.0,
        account=account or "",
        units=DEFAULT_UNITS if price_units is None else price_units,
        serving_gateways=int(n_entries or 1),
        is_retry=bool((opts or 0) & RETRY_FLAG),
    )


def _decode_resolved(
    request_id: int,
    attempt: int,
    server: str,
    verdict: str,
    rtt_s: float | None,
    closed: bool | None,  # noqa: FBT001 - the parameters are the values of a message
    _used: int | None,
    actual: float | None,
    server_stats: dict[str, Any] | None,
) -> model.AttemptCompleted:
    return model.AttemptCompleted(
        request_id=request_id,
        attempt=attempt,
        endpoint=server,
        status=_map_value(STATUSES, "resolved", verdict),
        elapsed=rtt_s or 0.0,
        request_finished=bool(closed),
        load_report=_decode_load_report(server_stats),
        charged_units=actual or None,
    )


def _decode_count_result(
    _rtt_s: float | None, counter_key: int, total: float | None, verdict: str
) -> model.CounterReplied:
    status = _map_value(STATUSES, "count_result", verdict)
    return model.CounterReplied(counter_id=counter_key, status=status, total=total or 0.0)


def _decode_probe_result(
    server: str, verdict: str, rtt_s: float | None, server_stats: dict[str, Any] | None
) -> model.HealthChecked:
    return model.HealthChecked(
        endpoint=server,
        status=_map_value(STATUSES, "probe_result", verdict),
        elapsed=rtt_s or 0.0,
        load_report=_decode_load_report(server_stats),
    )


def _decode_membership(
    endpoint_lists: EndpointLists, how: str, list_id: int | None, _index: int | None
) -> model.EndpointUpdate | None:
    if how == FAILED_MEMBERSHIP_KIND:
        return None
    complete = _map_value(COMPLETE_BY_MEMBERSHIP_KIND, "membership", how)
    if list_id not in endpoint_lists:
        raise MalformedInputError(f"membership: list {list_id} has not been registered")
    return model.EndpointUpdate(endpoint_lists[list_id], complete=complete)


# ``decode_event`` handles ``membership``, which needs the endpoint lists. The adapter handles ``begin``,
# ``register`` and ``shutdown``. ``begun`` and ``peer`` are ignored.
EVENT_DECODERS: dict[str, Callable[..., model.Event]] = {
    "incoming": _decode_incoming,
    "resolved": _decode_resolved,
    "count_result": _decode_count_result,
    "timeout_fired": model.TimerFired,
    "left": model.ClientDisconnected,
    "probe_result": _decode_probe_result,
}


def decode_event(message: str, values: list[Any], endpoint_lists: EndpointLists) -> model.Event | None:
    """Return the event for a message and its unpacked values, or None if the message is no event.

    Raises ``MalformedInputError`` for a value that the protocol does not define, and for an endpoint list
    that has not been registered.
    """
    decode = EVENT_DECODERS.get(message)
    if decode is not None:
        return decode(*values)
    if message == "membership":
        return _decode_membership(endpoint_lists, *values)
    return None


def _encode_forward(action: model.Forward) -> list[Any]:
    return ["pass_on", action.request_id, action.timeout, action.endpoint]


def _encode_reject(action: model.Reject) -> list[Any]:
    return ["deny", action.request_id, action.retry_after]


def _encode_fail(action: model.Fail) -> list[Any]:
    return ["give_up", action.request_id]


def _encode_cancel_attempt(action: model.CancelAttempt) -> list[Any]:
    return ["call_off", action.request_id, action.attempt]


def _encode_increment_counter(action: model.IncrementCounter) -> list[Any]:
    return ["bump", action.counter_id, action.lifetime, action.amount]


def _encode_check_health(action: model.CheckHealth) -> list[Any]:
    return ["check", action.endpoint]


def _encode_set_timer(action: model.SetTimer) -> list[Any]:
    return ["sleep", action.delay, action.token]


def _encode_log(action: model.Log) -> list[Any]:
    return ["journal_line", action.text]


COMMAND_ENCODERS: dict[type, Callable[[Any], list[Any]]] = {
    model.Forward: _encode_forward,
    model.Reject: _encode_reject,
    model.Fail: _encode_fail,
    model.CancelAttempt: _encode_cancel_attempt,
    model.IncrementCounter: _encode_increment_counter,
    model.CheckHealth: _encode_check_health,
    model.SetTimer: _encode_set_timer,
    model.Log: _encode_log,
}


def encode_command(action: model.Action) -> list[Any]:
    """Return the command by which the simulator executes an action."""
    return COMMAND_ENCODERS[type(action)](action)
