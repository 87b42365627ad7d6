"""Why something that looks like a violation is none; each run prints how often each reason was used."""

from __future__ import annotations

from enum import StrEnum


class Excuse(StrEnum):
    """A reason, with the sentence of the pages or the fault of the run behind it."""

    KILLED = "its process was killed"  # when a process dies, its connections are reset (PROTOCOL)
    # What SIGKILL finds unanswered, if it arrived over 0.7 s after SIGTERM (PROTOCOL).
    KILLED_IN_SHUTDOWN = "arrived late in a shutdown, killed"
    RESENT_AFTER_KILL = "sent again by its client after a kill"
    READ_FAILED = "a read of its connection failed"
    # A crowd of idle clients fills the descriptors: new connections may be shut unread (STANDING).
    CROWDED = "shut unread in a crowd"
    PROCESS_STOPPED = "its process was stopped"
    LEFT_AT_DOOR = "no process served the accept queue"
    RUNNER_LATE = "the soak test itself was late"
    NO_PROCESS = "refused while no process had to accept"
    NETWORK_FAULT = "a network fault delayed the attempt"
    LATE_NOTIFICATION = "the limiter may not have been notified yet"
    ADMIN_UNREACHABLE = "the admin address may have been unreachable"
