"""Admin commands that have received no reply yet."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from functools import partial

from quota_gateway import model
from quota_gateway.net.admin.listener import CommandReply, ReplyCallback
from quota_gateway.net.common.metrics import Metrics
from quota_gateway.net.dispatch.request_table import RequestTable
from quota_gateway.net.process_group.group import ProcessGroup

# Longest wait for a changed suspension to be recorded. Operators expect the reply within 1 s.
SAVE_TIMEOUT_SECONDS = 0.7
SAVE_POLL_INTERVAL_SECONDS = 0.05
SUSPENSION_COMMANDS = (model.AdminCommand.SUSPEND, model.AdminCommand.RESTORE)


@dataclass(frozen=True, slots=True)
class _PendingCommand:
    command: model.AdminCommand
    on_reply: ReplyCallback


class PendingCommands:
    """The admin commands without a reply, by id; each command gets exactly one reply."""

    def __init__(self, metrics: Metrics, requests: RequestTable, process_group: ProcessGroup) -> None:
        """The metrics show the number of open ``requests``; ``process_group`` records suspensions."""
        self._metrics = metrics
        self._requests = requests
        self._process_group = process_group
        self._next_reply_fails = False
        self._commands: dict[int, _PendingCommand] = {}
        self._last_id = 0

    def add(self, command: model.AdminCommand, on_reply: ReplyCallback) -> int:
        """Register a command; return its id."""
        self._last_id += 1
        self._commands[self._last_id] = _PendingCommand(command, on_reply)
        return self._last_id

    def fail_next_reply(self) -> None:
        """Have the next reply report a failure: the suspension that it would confirm was not recorded."""
        self._next_reply_fails = True

    def fail(self, command_id: int) -> None:
        """Reply with a failure, because the decisions raised an exception on the command."""
        self._commands.pop(command_id).on_reply(CommandReply(succeeded=False))

    def reply(self, action: model.AdminReply) -> None:
        """Send the reply of the decisions.

        The reply to METRICS contains the metrics. A successful reply to SUSPEND or RESTORE is sent once the
        change is recorded.
        """
        pending = self._commands.pop(action.request_id)
        must_fail = self._next_reply_fails
        self._next_reply_fails = False
        if action.ok and pending.command in SUSPENSION_COMMANDS:
            deadline = asyncio.get_running_loop().time() + SAVE_TIMEOUT_SECONDS
            self._reply_when_saved(pending, must_fail=must_fail, deadline=deadline)
            return
        text = self._render_metrics(action) if pending.command is model.AdminCommand.METRICS else ""
        pending.on_reply(CommandReply(action.ok, text))

    def _render_metrics(self, action: model.AdminReply) -> str:
        return self._metrics.render(
            open_requests=self._requests.received_count,
            known_endpoints=action.known_endpoints,
            avoided_endpoints=action.avoided_endpoints,
        )

    def _reply_when_saved(self, pending: _PendingCommand, *, must_fail: bool, deadline: float) -> None:
        """Reply once the changed suspension is recorded, or with a failure at the deadline.

        A successful reply confirms the change for all processes of this limiter, including those that start
        later.
        """
        is_saved = self._process_group.suspensions_saved
        loop = asyncio.get_running_loop()
        if must_fail or is_saved or loop.time() >= deadline:
            pending.on_reply(CommandReply(is_saved and not must_fail))
        else:
            retry = partial(self._reply_when_saved, pending, must_fail=must_fail, deadline=deadline)
            loop.call_later(SAVE_POLL_INTERVAL_SECONDS, retry)
