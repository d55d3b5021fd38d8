"""Failures as values.

A function that can fail returns a failure, or a tuple of failures, in place of its
result. Checks of input go on after a failure, so that one call reports all failures.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Failure:
    """Base class of all failures.

    :param source: origin of the invalid item, such as a file and a line.
    :param message: what is wrong, in one sentence.
    :param item: the invalid item in printable form.
    """

    source: str
    message: str
    item: str = ""

    def __str__(self) -> str:
        suffix = f" ({self.item})" if self.item else ""
        return f"{self.source}: {self.message}{suffix}"


class FailureError(Exception):
    """Carries a failure through code that reports errors only by exceptions."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(str(failure))
        self.failure = failure
