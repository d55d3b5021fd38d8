"""Lets processes that tests start import this checkout, and marks known failures.

A test whose id is the first field of a line in KNOWN-RED.txt must fail until the line
is removed; one whose id follows the word ``sometimes`` may fail. Every other test must
pass.
"""

import os
import sys
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import pytest

ROOT = Path(__file__).parent
LIBRARIES = [ROOT / "platform", *sorted(ROOT.glob("libraries/*"))]
KNOWN_FAILURES = ROOT / "KNOWN-RED.txt"
FIELD_SEPARATOR = " | "
SOMETIMES = "sometimes "
os.environ["PYTHONPATH"] = os.pathsep.join(map(str, LIBRARIES))
sys.dont_write_bytecode = True


@dataclass(frozen=True)
class KnownFailure:
    """A test that fails for a fault that is not mended yet.

    :param is_certain: whether it fails in every run.
    """

    test: str
    seen: str
    is_certain: bool


def read_known_failures() -> Iterator[KnownFailure]:
    """Yield the tests that are known to fail."""
    if not KNOWN_FAILURES.exists():
        return
    for line in KNOWN_FAILURES.read_text().splitlines():
        name, _, seen = line.partition(FIELD_SEPARATOR)
        test = name.removeprefix(SOMETIMES)
        if "::" in test:
            yield KnownFailure(test, seen, is_certain=test == name)


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the tests that KNOWN-RED.txt names."""
    known = {failure.test: failure for failure in read_known_failures()}
    for item in items:
        failure = known.get(item.nodeid)
        if failure is not None:
            mark = pytest.mark.xfail(reason=failure.seen, strict=failure.is_certain)
            item.add_marker(mark)
