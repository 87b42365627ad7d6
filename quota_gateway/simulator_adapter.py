"""Runs gateways for a simulator: reads one batch of messages per line and replies to each with commands."""

from __future__ import annotations

import gc
import json
import sys
from dataclasses import dataclass
from typing import Any, NoReturn, TextIO

from quota_gateway import model
from quota_gateway.decisions.gateway import Gateway
from quota_gateway.settings_parser import SettingsError, parse_settings
from quota_gateway.simulator_protocol import (
    EndpointLists,
    MalformedInputError,
    decode_endpoint,
    decode_event,
    encode_command,
    unpack_message,
)

ERROR_PREFIX = "simulator_adapter: "
EXIT_CODE_INVALID_INPUT = 2


@dataclass(slots=True)
class Batch:
    """The messages that the simulator sends to its gateways at one point in simulated time, as one line."""

    number: Any  # number of the batch, which the reply repeats
    now: float  # simulated time in seconds
    gateway_parts: list[Any]  # one part for each gateway that has messages; not validated yet


def parse_batch(line: str) -> Batch:
    """Parse a line of JSON as a batch; raise ``MalformedInputError`` if it is malformed."""
    try:
        batch = json.loads(line)
    except ValueError as error:
        raise MalformedInputError(f"batch: expected JSON: {error}") from None
    if not isinstance(batch, dict):
        raise MalformedInputError("batch: expected an object")
    now = batch.get("moment_s")
    if isinstance(now, bool) or not isinstance(now, int | float):
        raise MalformedInputError("batch: moment_s: expected a number")
    parts = batch.get("parts")
    if not isinstance(parts, list):
        raise MalformedInputError("batch: parts: expected an array")
    return Batch(number=batch.get("n"), now=now, gateway_parts=parts)


class SimulatorAdapter:
    """Holds the simulated gateways of this process, and replies to each batch of messages with commands."""

    def __init__(self) -> None:
        """Create an adapter that has no gateways and no endpoint lists yet."""
        self._gateways: dict[str, Gateway] = {}  # key: limiter_id
        self._endpoint_lists: EndpointLists = {}  # key: list number of ``register``

    def handle_batch(self, line: str) -> str:
        """Return the reply to one line.

        Raises ``MalformedInputError`` for malformed input and ``InvalidSettingsError`` for settings that no
        gateway can run with.
        """
        batch = parse_batch(line)
        replies = []
        for part in batch.gateway_parts:
            actions = self._handle_part(batch.now, part)
            if actions:
                commands = [encode_command(action) for action in actions]
                replies.append({"limiter_id": part["limiter_id"], "cmds": commands})
        return json.dumps({"n": batch.number, "parts": replies}, separators=(",", ":"))

    def _handle_part(self, now: float, part: Any) -> list[model.Action]:
        """Apply one gateway's messages of a batch, and return the actions that it takes."""
        if not isinstance(part, dict) or not isinstance(part.get("limiter_id"), str):
            raise MalformedInputError("batch: limiter_id of a part: expected a string")
        messages = part.get("news")
        if not isinstance(messages, list):
            raise MalformedInputError("batch: news of a part: expected an array")
        limiter_id = part["limiter_id"]
        actions: list[model.Action] = []
        for message in messages:
            name, values = unpack_message(message)
            if name == "shutdown":
                self._gateways.pop(limiter_id, None)
                actions.clear()  # the gateway has exited: its earlier actions are discarded
            elif name == "begin":
                self._begin(now, limiter_id, *values)
            elif name == "register":
                self._register(*values)
            else:
                actions.extend(self._handle_event(now, limiter_id, name, values))
        return actions

    def _handle_event(self, now: float, limiter_id: str, name: str, values: list[Any]) -> list[model.Action]:
        """Return the gateway's actions for a message; there are none if the message is not an event."""
        event = decode_event(name, values, self._endpoint_lists)
        if event is None:
            return []
        gateway = self._gateways.get(limiter_id)
        if gateway is None:
            raise MalformedInputError(f"{name}: no gateway is running for {limiter_id}")
        return gateway.handle(now, event)

    def _begin(self, now: float, limiter_id: str, /, salt: int, raw_settings: dict[str, Any]) -> None:
        try:
            settings = parse_settings(raw_settings)
        except SettingsError as error:
            raise MalformedInputError(str(error)) from None
        self._gateways[limiter_id] = Gateway(settings, salt, now)

    def _register(self, list_id: int, entries: list[Any]) -> None:
        self._endpoint_lists[list_id] = tuple(decode_endpoint(entry) for entry in entries)


def _exit_with_error(text: str) -> NoReturn:
    print(f"{ERROR_PREFIX}{text}", file=sys.stderr)
    raise SystemExit(EXIT_CODE_INVALID_INPUT)


def main(source: TextIO = sys.stdin, sink: TextIO = sys.stdout) -> None:
    """Reply to each line of the source; exit with one line on standard error if the input is malformed."""
    adapter = SimulatorAdapter()
    gc.freeze()
    for line in source:
        if not line.strip():
            continue
        try:
            reply = adapter.handle_batch(line)
        except (MalformedInputError, ValueError) as error:
            _exit_with_error(str(error))
        sink.write(reply + "\n")
        sink.flush()


if __name__ == "__main__":
    main()
