"""Handover codec: a state is decoded as it was encoded, and any malformed file raises a format error.

``test_wire_formats.py`` checks the bytes of the file.
"""

from __future__ import annotations

import json
from dataclasses import replace
from typing import Any

import pytest

from quota_gateway import model
from quota_gateway.net.process_group.handover_codec import (
    HandoverFormatError,
    decode_handover,
    encode_handover,
)

STATE = model.HandoverState(
    completion_rate=0.5,
    mean_work=0.1,
    mean_units=2.0,
    base_latencies={"read": 0.04},
    endpoints=(model.EndpointHandover("s0", 1.5, None, 3, 1.0, 1.1, 0.2),),
    accounts=(model.AccountHandover("basic", "00000000b4d65521", 2, 3.0, 1.0, 0.5, 0.1, 7.0, None),),
)


def document() -> dict[str, Any]:
    """Return the decoded JSON of a valid file."""
    decoded: dict[str, Any] = json.loads(encode_handover(STATE, 0.0))
    return decoded


def test_decoding_an_encoded_state_returns_the_same_state() -> None:
    assert decode_handover(encode_handover(STATE, 0.0).encode(), 0.0) == STATE


def test_numbers_out_of_range_are_clamped() -> None:
    raw = document()
    raw |= {"done_rate": -1, "mean": -2.5, "units": -3}
    raw["accounts"][0] |= {"gateways": 0, "ceiling": -0.5}
    state = decode_handover(json.dumps(raw).encode(), 0.0)
    assert (state.completion_rate, state.mean_work, state.mean_units) == (0.0, 0.0, 0.0)
    assert state.accounts[0].serving_gateways == 1
    assert state.accounts[0].ceiling_tokens == 0.0


@pytest.mark.parametrize(
    ("data", "location", "expected"),
    [
        (b"", "file", "JSON"),
        (b"\xff", "file", "JSON"),
        (b"[]", "file", "an object"),
        (b"null", "file", "an object"),
        (b"{}", "file.servers", "a value"),
        (b'{"servers": 3}', "file.servers", "an array"),
        (b'{"servers": ["s0"]}', "file.servers[0]", "an object"),
        (b'{"servers": [], "accounts": [3]}', "file.accounts[0]", "an object"),
        (b'{"servers": [], "accounts": [], "bases": {"read": null}}', "file.bases.read", "a finite number"),
    ],
)
def test_the_error_for_a_malformed_file_states_the_location_and_the_expected_value(
    data: bytes, location: str, expected: str
) -> None:
    with pytest.raises(HandoverFormatError) as caught:
        decode_handover(data, 0.0)
    assert caught.value.location == location
    assert caught.value.expected == expected
    assert str(caught.value) == f"{location}: expected {expected}, found {caught.value.found}"


@pytest.mark.parametrize("value", [True, "3", None, [], float("nan"), float("inf")])
def test_the_error_for_a_value_other_than_a_finite_number_states_its_location(value: object) -> None:
    raw = document()
    raw["servers"][0]["born"] = value
    with pytest.raises(HandoverFormatError) as caught:
        decode_handover(json.dumps(raw).encode(), 0.0)
    assert caught.value.location == "file.servers[0].born"
    assert caught.value.found == repr(value)
    assert caught.value.expected == "a finite number"


def test_times_are_converted_to_the_clock_of_the_reading_process() -> None:
    """The wall clock was set forward by an hour between the starts of the two processes."""
    warming = model.EndpointHandover("s0", 1.5, 100.0, 3, 1.0, 1.1, 0.2)
    text = encode_handover(replace(STATE, endpoints=(warming,)), clock_offset=50.0)
    state = decode_handover(text.encode(), clock_offset=3650.0)
    assert state.endpoints[0].warming_since == 3700.0
    # The start time is not converted, because discovery reports it to both processes.
    assert state.endpoints[0].started_at == 1.5
    assert state.accounts[0].last_synchronised == 3607.0


def test_times_of_a_file_without_a_clock_are_not_converted() -> None:
    """Processes of earlier versions write no clock."""
    raw = document()
    del raw["clock"]
    assert decode_handover(json.dumps(raw).encode(), clock_offset=3600.0) == STATE


def file_with(**members: Any) -> bytes:
    """Return a valid file in which the values of some keys are replaced."""
    return json.dumps(document() | members).encode()


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(file_with(bases=[1]), id="list of latencies"),
        pytest.param(file_with(bases=3), id="number of latencies"),
        pytest.param(file_with(mean=10**400), id="beyond the float range"),
        pytest.param(file_with(clock=10**400), id="clock beyond the float range"),
        pytest.param(b"[" * 100_000, id="nested too deep"),
    ],
)
def test_any_malformed_file_raises_a_format_error(data: bytes) -> None:
    """``HandoverFiles.read`` handles only this error; any other would not report the file as malformed."""
    with pytest.raises(HandoverFormatError):
        decode_handover(data, 0.0)
