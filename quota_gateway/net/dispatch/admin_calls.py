"""Commands of operators that wait for the reply of the decisions."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from quota_gateway import model
from quota_gateway.net.admin.listener import ReplyCallback
from quota_gateway.net.common.metrics import Metrics
from quota_gateway.net.dispatch.request_table import RequestTable
from quota_gateway.net.process_group.group import ProcessGroup

SAVE_TIMEOUT = 0.7  # seconds that a reply waits until a suspension is recorded; it is owed within 1 s
SAVE_POLL_INTERVAL = 0.05  # seconds


@dataclass(frozen=True, slots=True)
class _AdminCall:
    command: model.AdminCommand
    on_reply: ReplyCallback


class AdminCalls:
    """The open calls by id; each gets one reply."""

    def __init__(self, metrics: Metrics, requests: RequestTable, process_group: ProcessGroup) -> None:
        """Create the table; ``requests`` count in the metrics, ``process_group`` records suspensions."""
        self._metrics = metrics
        self._requests = requests
        self._process_group = process_group
        self._is_next_refused = False
        self._calls: dict[int, _AdminCall] = {}
        self._last_id = 0

    def add(self, command: model.AdminCommand, on_reply: ReplyCallback) -> int:
        """Register a call; returns its id."""
        self._last_id += 1
        self._calls[self._last_id] = _AdminCall(command, on_reply)
        return self._last_id

    def refuse_next(self) -> None:
        """The suspension that the next reply would confirm was not made."""
        self._is_next_refused = True

    def _reply_when_saved(self, call: _AdminCall, is_refused: bool, deadline: float) -> None:
        """A yes is a promise for all processes: it waits for the file, and without it becomes a no."""
        loop = asyncio.get_running_loop()
        is_saved = self._process_group.suspensions_saved
        if is_refused or is_saved or loop.time() >= deadline:
            call.on_reply(is_saved and not is_refused, "")
        else:
            loop.call_later(SAVE_POLL_INTERVAL, self._reply_when_saved, call, is_refused, deadline)

    def fail(self, call_id: int) -> None:
        """Reply in place of decisions that have failed."""
        self._calls.pop(call_id).on_reply(False, "")

    def reply(self, action: model.AdminReply) -> None:
        """Reply as the decisions say, with the metrics where the command asks for them."""
        call = self._calls.pop(action.request_id)
        is_refused = self._is_next_refused
        self._is_next_refused = False
        if action.ok and call.command in (model.AdminCommand.SUSPEND, model.AdminCommand.RESTORE):
            loop = asyncio.get_running_loop()
            self._reply_when_saved(call, is_refused, loop.time() + SAVE_TIMEOUT)
            return
        self._metrics.in_progress = self._requests.uploaded_count + self._metrics.streaming_responses
        text = ""
        if call.command is model.AdminCommand.METRICS:
            text = self._metrics.render(action.known_endpoints, action.avoided_endpoints)
        call.on_reply(action.ok, text)
