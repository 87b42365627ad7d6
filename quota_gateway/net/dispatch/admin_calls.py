"""Commands of operators that wait for the reply of the decisions."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from functools import partial

from quota_gateway import model
from quota_gateway.net.admin.listener import CommandReply, ReplyCallback
from quota_gateway.net.common.metrics import Metrics
from quota_gateway.net.dispatch.request_table import RequestTable
from quota_gateway.net.process_group.group import ProcessGroup

# A reply waits this long until the suspension is recorded. Operators expect it within 1 s.
SAVE_TIMEOUT_SECONDS = 0.7
SAVE_POLL_INTERVAL_SECONDS = 0.05
SUSPENSION_COMMANDS = (model.AdminCommand.SUSPEND, model.AdminCommand.RESTORE)


@dataclass(frozen=True, slots=True)
class _AdminCall:
    command: model.AdminCommand
    on_reply: ReplyCallback


class AdminCalls:
    """The open calls by id; each gets exactly one reply."""

    def __init__(self, metrics: Metrics, requests: RequestTable, process_group: ProcessGroup) -> None:
        """``requests`` are shown in the metrics; ``process_group`` records suspensions."""
        self._metrics = metrics
        self._requests = requests
        self._process_group = process_group
        self._fails_next = False
        self._calls: dict[int, _AdminCall] = {}
        self._last_id = 0

    def add(self, command: model.AdminCommand, on_reply: ReplyCallback) -> int:
        """Register a call; return its id."""
        self._last_id += 1
        self._calls[self._last_id] = _AdminCall(command, on_reply)
        return self._last_id

    def fail_next(self) -> None:
        """Have the next reply report failure: the suspension that it would confirm was not recorded."""
        self._fails_next = True

    def fail(self, call_id: int) -> None:
        """Reply in place of the decisions, which have failed."""
        self._calls.pop(call_id).on_reply(CommandReply(succeeded=False))

    def reply(self, action: model.AdminReply) -> None:
        """Reply as the decisions say, with the metrics if the command requests them."""
        call = self._calls.pop(action.request_id)
        has_failed = self._fails_next
        self._fails_next = False
        if action.ok and call.command in SUSPENSION_COMMANDS:
            deadline = asyncio.get_running_loop().time() + SAVE_TIMEOUT_SECONDS
            self._reply_when_saved(call, has_failed=has_failed, deadline=deadline)
            return
        text = self._render_metrics(action) if call.command is model.AdminCommand.METRICS else ""
        call.on_reply(CommandReply(action.ok, text))

    def _render_metrics(self, action: model.AdminReply) -> str:
        return self._metrics.render(
            open_requests=self._requests.received_count,
            known_endpoints=action.known_endpoints,
            avoided_endpoints=action.avoided_endpoints,
        )

    def _reply_when_saved(self, call: _AdminCall, *, has_failed: bool, deadline: float) -> None:
        """Reply once the suspension is recorded, or with a failure at the deadline.

        A reply of success applies to all processes of this limiter, later ones included.
        """
        is_saved = self._process_group.suspensions_saved
        loop = asyncio.get_running_loop()
        if has_failed or is_saved or loop.time() >= deadline:
            call.on_reply(CommandReply(is_saved and not has_failed))
        else:
            retry = partial(self._reply_when_saved, call, has_failed=has_failed, deadline=deadline)
            loop.call_later(SAVE_POLL_INTERVAL_SECONDS, retry)
