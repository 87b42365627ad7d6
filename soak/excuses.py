"""The reasons why an observation is no violation; each run prints how often it used each reason."""

from __future__ import annotations

from enum import StrEnum


class Excuse(StrEnum):
    """The reasons. A comment gives the rule that justifies one, and in parentheses the page with the rule."""

    # The connections of a process are reset when SIGKILL ends it (PROTOCOL).
    KILLED = "its process was killed"
    # A request that arrived more than 0.7 s after SIGTERM may be unanswered at SIGKILL (PROTOCOL).
    KILLED_IN_SHUTDOWN = "arrived late in a shutdown, killed"
    RESENT_AFTER_KILL = "sent again by its client after a kill"
    READ_FAILED = "a read of its connection failed"
    # While a crowd of clients uses up the file descriptors, new connections may be closed unread (STANDING).
    DESCRIPTORS_EXHAUSTED = "shut unread in a crowd"
    PROCESS_STOPPED = "its process was stopped"
    ACCEPT_QUEUE_UNSERVED = "no process served the accept queue"
    RUNNER_LATE = "the soak test itself was late"
    NO_PROCESS = "refused while no process had to accept"
    NETWORK_FAULT = "a network fault delayed the attempt"
    LATE_NOTIFICATION = "the limiter may not have been notified yet"
    ADMIN_UNREACHABLE = "the admin address may have been unreachable"
