"""Counts of endpoints' sound and failed answers, over all hosts."""

from collections.abc import Callable

from sesamespoke.serving.directory import Directory, ListedEndpoint
from sesamespoke.serving.outlier_evidence import KNOWN_GOOD, Tally

MIN_TOLD = 0.05
"""Counts below this one have decayed and are not told."""
MAX_TOLD = 10_000.0
"""Higher counts are no counts."""

AnswerRow = tuple[str, int, int, float, float]
"""Endpoint, incarnation, cause, errors of this cause, sound answers."""


class AnswerCounts:
    """The answers that all hosts got, and those here that no other knows."""

    def __init__(
        self, clock: Callable[[], float], directory: Directory
    ) -> None:
        """Start without answers."""
        self._clock = clock
        self._directory = directory
        self._sums: dict[str, Tally] = {}
        self._untold: dict[str, Tally] = {}

    def sum_of(self, endpoint: ListedEndpoint) -> Tally | None:
        """Return the answers of an incarnation at all hosts, if any."""
        tally = self._sums.get(endpoint.name)
        if tally is None or tally.born != endpoint.born:
            return None
        tally.fade(self._clock())
        return tally

    def note_sound(self, endpoint: ListedEndpoint) -> None:
        """Count a sound answer to this host."""
        for counts in (self._sums, self._untold):
            self._tally(counts, endpoint).sound += 1

    def note_error(self, endpoint: ListedEndpoint, cause: int) -> None:
        """Count an error to this host."""
        for counts in (self._sums, self._untold):
            self._tally(counts, endpoint).add_errors(cause, 1)

    def add(self, row: AnswerRow) -> None:
        """Add answers that another host tells of."""
        endpoint = self._directory.endpoints.get(row[0])
        _, born, cause, errors, sound = row
        if endpoint is None or endpoint.born != born:
            return
        tally = self._tally(self._sums, endpoint)
        if 0 < errors < MAX_TOLD:
            tally.add_errors(cause, errors)
        if 0 < sound < MAX_TOLD:
            tally.sound += sound

    def take_report(self) -> tuple[AnswerRow, ...]:
        """Return what other hosts have to know of this one's answers.

        That is nothing unless there were errors here, or sound answers of an
        endpoint that is accused.
        """
        if not any(self._is_news(name) for name in self._untold):
            return ()
        now = self._clock()
        rows: list[AnswerRow] = []
        for name, tally in self._untold.items():
            tally.fade(now)
            rows.extend(
                (name, tally.born, cause, errors, 0)
                for cause, errors in tally.errors.items()
                if errors >= MIN_TOLD
            )
            if tally.sound >= MIN_TOLD:
                rows.append((name, tally.born, KNOWN_GOOD, 0, tally.sound))
        self._untold.clear()
        return tuple(rows)

    def drop(self, endpoint: str) -> None:
        """Drop the answers of an endpoint."""
        self._sums.pop(endpoint, None)
        self._untold.pop(endpoint, None)

    def _is_news(self, name: str) -> bool:
        untold, known = self._untold[name], self._sums.get(name)
        is_accused = known is not None and known.is_accused
        return bool(untold.errors) or (is_accused and untold.sound > MIN_TOLD)

    def _tally(
        self, counts: dict[str, Tally], endpoint: ListedEndpoint
    ) -> Tally:
        now = self._clock()
        tally = counts.get(endpoint.name)
        if tally is None or tally.born != endpoint.born:
            tally = Tally(endpoint.born, now)
            counts[endpoint.name] = tally
        tally.fade(now)
        return tally
