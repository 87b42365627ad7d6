"""Commands of operators that wait for the reply of the decisions."""

from __future__ import annotations

from dataclasses import dataclass

from quota_gateway import model
from quota_gateway.net.admin import ReplyCallback
from quota_gateway.net.metrics import Metrics
from quota_gateway.net.request_table import RequestTable


@dataclass(frozen=True, slots=True)
class _AdminCall:
    command: model.AdminCommand
    on_reply: ReplyCallback


class AdminCalls:
    """The open calls by id; each gets one reply."""

    def __init__(self, metrics: Metrics, requests: RequestTable) -> None:
        """Create the table; ``requests`` are counted in the metrics."""
        self._metrics = metrics
        self._requests = requests
        self._calls: dict[int, _AdminCall] = {}
        self._last_id = 0

    def add(self, command: model.AdminCommand, on_reply: ReplyCallback) -> int:
        """Register a call; returns its id."""
        self._last_id += 1
        self._calls[self._last_id] = _AdminCall(command, on_reply)
        return self._last_id

    def fail(self, call_id: int) -> None:
        """Reply in place of decisions that have failed."""
        self._calls.pop(call_id).on_reply(False, "")

    def reply(self, action: model.AdminReply) -> None:
        """Reply as the decisions say, with the metrics where the command asks for them."""
        call = self._calls.pop(action.request_id)
        self._metrics.in_progress = self._requests.uploaded_count + self._metrics.streaming_responses
        text = ""
        if call.command is model.AdminCommand.METRICS:
            text = self._metrics.render(action.known_endpoints, action.avoided_endpoints)
        call.on_reply(action.ok, text)
