"""Starts the timeout of an upload when its last byte has arrived, and ends one whose client has stopped."""

from __future__ import annotations

import time

from quota_gateway.net.client.arrival_times import ArrivalTimes
from quota_gateway.net.client.input_scheduler import InputScheduler
from quota_gateway.net.client.request import ClientRequest
from quota_gateway.net.client.request_body import SILENCE_TIMEOUT_SECONDS
from quota_gateway.net.client.request_intake import RequestIntake
from quota_gateway.net.client.unread_upload import UnreadUpload

# Longest time to look for the end of an upload before an attempt; only input in tiny chunks takes longer.
MAX_CHECK_SECONDS = 0.005


class UploadMonitor:
    """The receipt of one upload, from its first byte to its last one."""

    __slots__ = ("_arrival_times", "_intake", "_is_scheduled", "_request", "_scheduler", "_unread")

    def __init__(
        self,
        request: ClientRequest,
        unread: UnreadUpload,
        arrival_times: ArrivalTimes,
        intake: RequestIntake,
        scheduler: InputScheduler,
    ) -> None:
        """Monitor the upload of ``request``; ``unread`` observes its socket."""
        self._request = request
        self._unread = unread
        self._arrival_times = arrival_times
        self._intake = intake
        self._scheduler = scheduler
        self._is_scheduled = False  # whether the upload waits for its turn to be examined

    def on_read_completely(self) -> None:
        """Handle that the last byte has been read."""
        arrived_at = self._arrival_times.record_read()
        if not self._request.has_arrived:
            self._request.record_arrival(arrived_at)
        self._intake.complete_upload(self._request)

    def check_unread(self, now: float) -> None:
        """Look at the unread part; to be called at intervals while reading is paused."""
        if self._request.has_arrived:
            return
        self._unread.observe(now)
        if self._unread.has_end() or self._unread.may_be_sent():
            self._record_arrival(now)
        elif self._unread.is_client_silent(now, SILENCE_TIMEOUT_SECONDS):
            self._intake.time_out_upload(self._request)
        elif self._unread.is_quiet:
            self._schedule_lookahead()

    def check_arrival(self, now: float) -> None:
        """Look at once whether the last byte has arrived, without waiting for the input to stop."""
        if self._request.has_arrived:
            return
        end = time.perf_counter() + MAX_CHECK_SECONDS
        while self._unread.has_unexamined_input() and time.perf_counter() < end:
            self._unread.look_ahead()
        if self._unread.has_end():
            self._record_arrival(now)

    def _schedule_lookahead(self) -> None:
        if not self._is_scheduled and self._unread.has_unexamined_input():
            self._is_scheduled = True
            self._scheduler.add(self.look_ahead)

    def look_ahead(self, _until: float) -> None:
        """Examine a part of the unread input, in the turn of this connection."""
        self._is_scheduled = False
        if self._request.has_arrived:
            return
        self._unread.look_ahead()
        if self._unread.has_end():
            self._record_arrival(self._arrival_times.now())
        else:
            self._schedule_lookahead()

    def _record_arrival(self, now: float) -> None:
        """Notify the handler that the last byte of the upload has arrived, before it is read."""
        self._request.record_arrival(self._arrival_times.last_arrival(now))
        self._intake.record_upload_arrival(self._request)
