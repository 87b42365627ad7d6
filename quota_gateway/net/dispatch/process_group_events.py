"""Changes of the process group as events, and the decisions' actions on it."""

from __future__ import annotations

import logging
from collections.abc import Callable

from quota_gateway import model
from quota_gateway.net.dispatch.admin_calls import AdminCalls
from quota_gateway.net.process_group.group import GroupChange, ProcessGroup
from quota_gateway.net.upstream.pool import ConnectionPool

log = logging.getLogger(__name__)


class ProcessGroupEvents:
    """Joins the process group to the decisions and to the connection pool, which follows the suspensions."""

    def __init__(
        self,
        process_group: ProcessGroup,
        pool: ConnectionPool,
        admin_calls: AdminCalls,
        dispatch: Callable[[model.Event], None],
    ) -> None:
        """``dispatch`` receives the events."""
        self._process_group = process_group
        self._pool = pool
        self._admin_calls = admin_calls
        self._dispatch = dispatch

    def on_changed(self, change: GroupChange) -> None:
        """Dispatch a change of the number of processes or of the suspended endpoints."""
        names = sorted(change.suspended_endpoints) or "none"
        log.info("processes of this limiter: %d; suspended endpoints: %s", change.process_count, names)
        self._dispatch(model.ProcessCountChanged(change.process_count, change.seconds_unknown))
        self._pool.set_suspended_endpoints(change.suspended_endpoints)
        self._dispatch(model.SuspensionsChanged(change.suspended_endpoints))

    def on_handover(self, state: model.HandoverState) -> None:
        """Another process of this limiter handed over its state."""
        log.info(
            "another process handed over %d endpoints, %d accounts", len(state.endpoints), len(state.accounts)
        )
        self._dispatch(state)

    def record_suspension(self, action: model.RecordSuspension) -> None:
        """Record that an endpoint is suspended or restored, for all processes of this limiter."""
        log.info("endpoint %s: %s", action.endpoint, "suspended" if action.suspended else "restored")
        suspensions = self._process_group.set_suspended(action.endpoint, suspended=action.suspended)
        if (action.endpoint in suspensions) is not action.suspended:  # the limit of suspensions is reached
            self._admin_calls.fail_next()
        self._pool.set_suspended_endpoints(suspensions)
        # Another process may have recorded further suspensions in the meantime.
        self._dispatch(model.SuspensionsChanged(suspensions))

    def hand_over(self, action: model.HandOver) -> None:
        """Write the state for the other process."""
        self._process_group.write_handover(action.state)
