"""Errors that no code expected: they are logged and counted, and the task goes on.

A task that handles messages of other processes must not end because one of them runs
into a fault of ours. The task catches every error of one message at one place, here.
"""

from collections import Counter
from collections.abc import Iterable, Iterator
from contextlib import contextmanager

from absl import logging

# Tracebacks are long; a fault that recurs is described by the first ones.
MAX_TRACEBACKS_PER_KIND = 5


class UnexpectedErrors:
    """Counts unexpected errors by the kind of what was being handled."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    @contextmanager
    def absorb(self, kind: str) -> Iterator[None]:
        """End only the enclosed block on an error, and log and count the error.

        :param kind: what the block handles, such as the type of a message. The number
            of kinds must be bounded, since each is a label of a metric.
        """
        try:
            yield
        except Exception:
            # Cancellation is no Exception and still ends the task.
            self.record(kind)

    def record(self, kind: str) -> None:
        """Log and count the error that is being handled."""
        self.counts[kind] += 1
        if self.counts[kind] <= MAX_TRACEBACKS_PER_KIND:
            logging.exception("unexpected error while handling %s", kind)


def sum_counts(sources: Iterable[UnexpectedErrors]) -> Counter[str]:
    """Return the errors of several tasks by kind; tasks may share a kind."""
    total: Counter[str] = Counter()
    for source in sources:
        total.update(source.counts)
    return total
