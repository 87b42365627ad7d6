"""Dispatches changes of the process group as events, and executes the decisions' actions on the group."""

from __future__ import annotations

import logging
from collections.abc import Callable

from quota_gateway import model
from quota_gateway.net.dispatch.admin_calls import PendingCommands
from quota_gateway.net.process_group.group import GroupChange, ProcessGroup
from quota_gateway.net.upstream.pool import ConnectionPool

log = logging.getLogger(__name__)


class ProcessGroupEvents:
    """Connects the process group with the decisions, and applies its suspensions to the connection pool."""

    def __init__(
        self,
        process_group: ProcessGroup,
        pool: ConnectionPool,
        pending_commands: PendingCommands,
        dispatch: Callable[[model.Event], None],
    ) -> None:
        """``dispatch`` receives the events."""
        self._process_group = process_group
        self._pool = pool
        self._pending_commands = pending_commands
        self._dispatch = dispatch

    def on_changed(self, change: GroupChange) -> None:
        """Dispatch a change of the number of processes or of the suspended endpoints."""
        names = sorted(change.suspended_endpoints) or "none"
        log.info("processes of this limiter: %d; suspended endpoints: %s", change.process_count, names)
        self._dispatch(model.ProcessCountChanged(change.process_count, change.seconds_since_poll))
        self._pool.set_suspended_endpoints(change.suspended_endpoints)
        self._dispatch(model.SuspensionsChanged(change.suspended_endpoints))

    def on_handover(self, state: model.HandoverState) -> None:
        """Dispatch the state that another process of this limiter handed over."""
        log.info(
            "another process handed over %d endpoints, %d accounts", len(state.endpoints), len(state.accounts)
        )
        self._dispatch(state)

    def record_suspension(self, action: model.RecordSuspension) -> None:
        """Record that an endpoint is suspended or restored, for all processes of this limiter."""
        log.info("endpoint %s: %s", action.endpoint, "suspended" if action.suspended else "restored")
        suspensions = self._process_group.set_suspended(action.endpoint, suspended=action.suspended)
        # The change is not recorded if there are too many suspensions.
        if (action.endpoint in suspensions) is not action.suspended:
            self._pending_commands.fail_next_reply()
        self._pool.set_suspended_endpoints(suspensions)
        # Another process may have recorded further suspensions in the meantime.
        self._dispatch(model.SuspensionsChanged(suspensions))

    def hand_over(self, action: model.HandOver) -> None:
        """Write the state for the process that has joined the group."""
        self._process_group.write_handover(action.state)
