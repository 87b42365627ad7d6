"""The context that all parts of the decisions share: settings, random numbers and the list of actions."""

from dataclasses import dataclass, field
from random import Random

from quota_gateway.model import Action, Plan, RequestClass, Settings

LATENCY_FRACTION = 0.5  # latency, in latency objectives, that reads as the reference load
DEFAULT_OBJECTIVE_SECONDS = 1.0  # where the settings name no class


@dataclass(slots=True, eq=False)
class Context:
    """Shared by the parts of one gateway, which append to ``actions``; settings change in place."""

    settings: Settings
    rng: Random
    started_at: float
    actions: list[Action] = field(default_factory=list)  # of the event that is being handled
    process_count: int = 1  # processes of this limiter, which share its limits
    classes: dict[str, RequestClass] = field(default_factory=dict)
    plans: dict[str, Plan] = field(init=False)
    unresponsive_timeout: float = field(init=False)  # seconds without a response that make it unresponsive
    target_residence_time: float = field(init=False)  # seconds of a request at an endpoint

    def __post_init__(self) -> None:
        self.reconfigure(self.settings)

    def reconfigure(self, settings: Settings) -> None:
        """Apply new settings."""
        self.settings = settings
        # Removed classes stay: some of their requests may still be on their way.
        self.classes |= {request_class.name: request_class for request_class in settings.classes}
        self.plans = {plan.name: plan for plan in settings.plans}
        objectives = [request_class.latency_objective for request_class in settings.classes]
        objectives = objectives or [DEFAULT_OBJECTIVE_SECONDS]
        self.unresponsive_timeout = LATENCY_FRACTION * min(objectives)
        # The same for all classes: at its own, the class with the shortest objective would be starved.
        self.target_residence_time = LATENCY_FRACTION * sum(objectives) / len(objectives)

    def set_process_count(self, count: int) -> None:
        """Share all limits among this number of processes."""
        self.process_count = max(1, count)
