"""The operations that wait for a batch, in order for each name."""

from collections import deque
from collections.abc import Iterable

from sesamespoke.claim_operations import Operation

MAX_QUEUED = 20_000
MAX_BATCH = 63


class ClaimQueue:
    """Holds an operation back while one of the same name is under way."""

    def __init__(self) -> None:
        """Start empty."""
        self._queue: deque[Operation] = deque()
        self._busy: set[str] = set()

    @property
    def is_empty(self) -> bool:
        """Return whether nothing waits or is under way."""
        return not self._queue and not self._busy

    def put(self, operation: Operation) -> bool:
        """Append an operation; return whether there was room."""
        if len(self._queue) >= MAX_QUEUED:
            return False
        self._queue.append(operation)
        return True

    def take_batch(self) -> list[Operation]:
        """Remove and return operations of different names."""
        batch: list[Operation] = []
        left: deque[Operation] = deque()
        taken = set(self._busy)
        while self._queue and len(batch) < MAX_BATCH:
            operation = self._queue.popleft()
            chosen = left if operation.name in taken else batch
            chosen.append(operation)
            taken.add(operation.name)
        left.extend(self._queue)
        self._queue = left
        self._busy.update(operation.name for operation in batch)
        return batch

    def end(self, batch: Iterable[Operation]) -> None:
        """Allow further operations of these names."""
        self._busy.difference_update(operation.name for operation in batch)
