"""Lets processes that tests start import this checkout, and marks known failures.

A test whose id is the first field of a line in KNOWN-RED.txt must fail until the line
is removed; every other test must pass.
"""

import os
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parent
LIBRARIES = [ROOT / "platform", *sorted(ROOT.glob("libraries/*"))]
KNOWN_FAILURES = ROOT / "KNOWN-RED.txt"
FIELD_SEPARATOR = " | "
os.environ["PYTHONPATH"] = os.pathsep.join(map(str, LIBRARIES))
sys.dont_write_bytecode = True


def read_known_failures() -> Iterator[tuple[str, str]]:
    """Yield the id of each test that is known to fail, and what was seen."""
    if not KNOWN_FAILURES.exists():
        return
    for line in KNOWN_FAILURES.read_text().splitlines():
        test, _, seen = line.partition(FIELD_SEPARATOR)
        if "::" in test:
            yield test, seen


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the tests that KNOWN-RED.txt names."""
    known = dict(read_known_failures())
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason=known[item.nodeid], strict=True))
