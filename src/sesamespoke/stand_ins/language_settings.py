"""The settings and the faults of a stand-in language engine."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LanguageEngineSettings:
    """How fast an engine is and what it bears; times in seconds.

    One step gives each running request a token. It takes ``step`` and
    ``step_per_request`` for each running request, ``cold_factor`` times as
    long while cold.
    """

    models: tuple[str, ...] = ('assistant',)
    step: float = 0.02
    step_per_request: float = 0.0004
    prefill_per_token: float = 0.0001
    cached_prefill_ratio: float = 0.1
    cache_tokens: int = 65_536
    mean_output_tokens: float = 64
    starts_warm: bool = False
    cold_bears: int = 4
    cold_factor: float = 2
    warm_after: int = 8
    restart: float = 1
    resume_within: float = 10
    metrics_lag: float = 1
    crash_marker: str = 'CRASH-ENGINE'


@dataclass(slots=True)
class LanguageFaults:
    """The faults in force; counters hit the next requests.

    ``stall`` generates nothing; ``cross`` sends another request's answer;
    ``repeat`` sends an answer twice on its connection; ``cut`` closes the
    connection in the middle of the answer; ``refuse`` answers 503 without
    running the request.
    """

    stall: bool = False
    cross: int = 0
    repeat: int = 0
    cut: int = 0
    refuse: int = 0

    def take(self, name: str) -> bool:
        """Tell whether a counted fault hits this request."""
        left = int(getattr(self, name))
        if left > 0:
            setattr(self, name, left - 1)
        return left > 0
