"""What a language engine ran, as benches meter it."""

from collections import Counter, defaultdict
from dataclasses import asdict, dataclass, field

from sesamespoke.stand_ins.serving import JSONObject

BUCKETS_PER_SECOND = 10


@dataclass(slots=True)
class Tokens:
    """Tokens read and generated."""

    read: int = 0
    generated: int = 0


@dataclass(frozen=True, slots=True)
class Served:
    """Tokens of one account in the bucket that begins at ``time``."""

    time: float
    account: str
    read: int
    generated: int


def _make_tokens() -> defaultdict[str, Tokens]:
    return defaultdict(Tokens)


@dataclass(slots=True)
class EngineRecord:
    """Counts since the engine was created; crashes do not reset them.

    ``runs`` counts by request id how often it began to run;
    ``most_while_cold`` is the most requests held at once while cold.
    """

    runs: Counter[str] = field(default_factory=Counter)
    tokens: defaultdict[str, Tokens] = field(default_factory=_make_tokens)
    accounts: defaultdict[str, Tokens] = field(default_factory=_make_tokens)
    most_while_cold: int = 0
    falls: int = 0
    crashes: int = 0
    completed: int = 0
    cancelled: int = 0
    resumed: int = 0
    _buckets: dict[tuple[int, str], Tokens] = field(default_factory=dict)

    def add(
        self,
        now: float,
        account: str,
        read: int = 0,
        generated: int = 0,
    ) -> None:
        """Meter tokens of an account."""
        bucket = (int(now * BUCKETS_PER_SECOND), account)
        for sums in (
            self._buckets.setdefault(bucket, Tokens()),
            self.accounts[account],
        ):
            sums.read += read
            sums.generated += generated

    def timeline(self) -> list[Served]:
        """Return the metered tokens in the order of time."""
        return [
            Served(
                start / BUCKETS_PER_SECOND, account, sums.read, sums.generated
            )
            for (start, account), sums in sorted(self._buckets.items())
        ]

    def show(self) -> JSONObject:
        """Return everything as one JSON object."""
        return {
            'runs': dict(self.runs),
            'tokens': {
                request_id: asdict(sums)
                for request_id, sums in self.tokens.items()
            },
            'accounts': {
                account: asdict(sums) for account, sums in self.accounts.items()
            },
            'most_while_cold': self.most_while_cold,
            'falls': self.falls,
            'crashes': self.crashes,
            'completed': self.completed,
            'cancelled': self.cancelled,
            'resumed': self.resumed,
            'timeline': [asdict(served) for served in self.timeline()],
        }
