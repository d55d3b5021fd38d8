"""Failures as typed values.

A function that can fail returns a failure or a tuple of failures beside its result.
Input is checked to the end, so that one call reports every failure at once.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Failure:
    """Base of all failures.

    :param source: where the offending item comes from, such as a file and a line.
    :param message: what is wrong, in one sentence.
    :param item: the offending item in printable form.
    """

    source: str
    message: str
    item: str = ""

    def __str__(self) -> str:
        suffix = f" ({self.item})" if self.item else ""
        return f"{self.source}: {self.message}{suffix}"


class FailureError(Exception):
    """Carries a failure through a library that only knows exceptions.

    :param failure: the failure that stopped the call.
    """

    def __init__(self, failure: Failure) -> None:
        super().__init__(str(failure))
        self.failure = failure
