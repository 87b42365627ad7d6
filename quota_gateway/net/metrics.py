"""What this process has counted, from 0 at its start, in the form that operators read."""

from __future__ import annotations

from collections.abc import Iterable


class Metrics:
    """Requests by class and by how they ended, attempts, and reloads."""

    def __init__(self, classes: Iterable[str] = ()) -> None:
        self._ended = dict[str, list[int]]()
        self.upstream_attempts = self.reloads = self.reload_errors = 0
        self.in_progress = 0  # taken and not ended
        self.streaming_responses = 0  # of them those whose long answer is on its way
        self.register_classes(classes)

    def register_classes(self, classes: Iterable[str]) -> None:
        """Classes that are shown from now on; those that go keep their counts."""
        for name in classes:
            self._ended.setdefault(name, [0, 0, 0])

    def record_request(self, name: str, status: int) -> None:
        """A request has its whole answer, or what was begun of it has broken off (any other status)."""
        counts = self._ended.get(name)
        if counts is not None:
            counts[0 if status == 200 else 1 if status in (429, 503) else 2] += 1

    def render(self, known: int, skipped: int) -> str:
        lines = list[str]()
        for name, counts in self._ended.items():
            words = zip(("passed", "dropped", "bad_gateway"), counts, strict=True)
            lines += [f"app.handled.{name}.{word}={count}" for word, count in words]
        lines += [
            f"app.upstream_tries={self.upstream_attempts}", f"app.in_progress={self.in_progress}",
            f"app.known_servers={known}", f"app.skipped_servers={skipped}",
            f"app.loads={self.reloads}", f"app.load_errors={self.reload_errors}",
        ]  # fmt: skip
        return "\n".join(lines) + "\n"
