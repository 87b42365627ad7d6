"""Simulator adapter: each batch gets its reply, and malformed input gives an error that names the fault."""

from __future__ import annotations

import json
import subprocess
import sys
from typing import Any

import pytest

from quota_gateway.simulator_adapter import SimulatorAdapter
from quota_gateway.simulator_protocol import MalformedInputError

SETTINGS = {
    "classes": [{"name": "read", "aim_s": 1.0, "effect": "idempotent", "worth": 1.0, "group": "all"}],
    "tariffs": [{"name": "basic", "quota_rate": 2.0, "store_size": 8.0, "price": None}],
    "n_instances": 2, "me": 0, "my_zone": "a", "unheard_of": {"x": 1},
    "limits": {"max_attempts": 2, "retry_after": True, "max_retry_after_s": 1.0},
    "contract": {"cold_from": 0.2, "warm_after_s": 5.0, "fall_multiple": 2.0, "fall_s": 2.0},
}  # fmt: skip
REGISTER = ["register", 0, [[None, 1, 0, "k", "s1", "healthy", "a"]]]
BEGIN = [["begin", 7, SETTINGS], REGISTER, ["membership", "SAVED", 0, 1]]
INCOMING = ["incoming", 11, "read", "basic", 2.0, 0, 2, 0, "00ff", 1]


@pytest.fixture
def adapter() -> SimulatorAdapter:
    return SimulatorAdapter()


def commands_for(adapter: SimulatorAdapter, now: float, *messages: list[Any]) -> list[Any]:
    """Send a batch of messages to one gateway, and return the commands of the reply."""
    part = {"limiter_id": "limiter_0", "news": messages}
    reply = json.loads(adapter.handle_batch(json.dumps({"moment_s": now, "n": 3, "parts": [part]})))
    assert reply["n"] == 3
    return [command for part in reply["parts"] for command in part["cmds"]]


def test_request_is_forwarded_and_its_completion_gives_no_command(adapter: SimulatorAdapter) -> None:
    commands = commands_for(adapter, 1.0, *BEGIN, INCOMING)
    assert ["pass_on", 11, 1.0, "s1"] in commands
    resolved = ["resolved", 11, 0, "s1", "OK", 0.1, True, None, None, {"qps": 3}]
    assert commands_for(adapter, 1.1, resolved) == []


def test_adapter_replies_to_an_empty_batch_and_to_a_restart_within_a_batch(
    adapter: SimulatorAdapter,
) -> None:
    assert json.loads(adapter.handle_batch('{"moment_s":1.5,"n":9,"parts":[]}')) == {"n": 9, "parts": []}
    commands_for(adapter, 2.0, *BEGIN, INCOMING)
    commands = commands_for(adapter, 3.0, ["shutdown"], *BEGIN)
    assert [command[0] for command in commands] == ["sleep"]


def test_later_messages_of_a_batch_use_the_endpoint_list_registered_last(
    adapter: SimulatorAdapter,
) -> None:
    second_register = ["register", 0, [[None, 1, 0, "k", "s2", "healthy", "a"]]]
    commands = commands_for(adapter, 1.0, *BEGIN, second_register, ["membership", "FULL", 0, 2], INCOMING)
    assert [command[3] for command in commands if command[0] == "pass_on"] == ["s2"]


@pytest.mark.parametrize(
    ("message", "expected_text"),
    [
        (["incoming", "x"], "id"),
        (["resolved", 1, 0, "s1", "FINE", 0.1, True], "FINE"),
        (["nonsense"], "nonsense"),
        (["membership", "FULL", 9, 1], "list 9"),
        (["timeout_fired"], "mark"),
        (["left", 1, 2, 3], "left"),
        (["begin", 1, {"limits": 3}], "limits"),
    ],
)
def test_error_for_malformed_message_names_the_fault(
    adapter: SimulatorAdapter, message: list[Any], expected_text: str
) -> None:
    commands_for(adapter, 1.0, *BEGIN)
    with pytest.raises(MalformedInputError, match=expected_text):
        commands_for(adapter, 2.0, message)


@pytest.mark.parametrize("line", ["not json", "[]", '{"n":1}', '{"moment_s":1,"parts":[{"news":[]}]}'])
def test_malformed_line_ends_the_process_with_one_line_on_standard_error(line: str) -> None:
    completed = subprocess.run(
        [sys.executable, "-m", "quota_gateway.simulator_adapter"],
        input=line + "\n",
        capture_output=True,
        text=True,
        check=False,
    )
    assert completed.returncode != 0
    assert completed.stdout == ""
    assert len(completed.stderr.strip().splitlines()) == 1
    assert completed.stderr.startswith("simulator_adapter: ")


def test_error_for_invalid_settings_names_the_field(adapter: SimulatorAdapter) -> None:
    invalid_settings = dict(SETTINGS, n_instances=0)
    with pytest.raises(ValueError, match="gateway_count"):
        commands_for(adapter, 1.0, ["begin", 1, invalid_settings])
