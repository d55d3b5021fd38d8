"""Sets the import path of the processes that tests start, and marks known failures.

Property tests draw the same few examples in every run. ``SHALLOTSPINDLE_EXAMPLES`` sets
another number, which are drawn at random then.

A test whose id is the first field of a line in KNOWN-RED.txt must fail until the line
is removed. If the id follows the word ``sometimes``, the test may fail or pass. All
other tests must pass.
"""

import os
import sys
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import hypothesis
import pytest

DEFAULT_EXAMPLES = 60
EXAMPLES_VARIABLE = "SHALLOTSPINDLE_EXAMPLES"
ROOT = Path(__file__).parent
LIBRARIES = [ROOT / "platform", *sorted(ROOT.glob("libraries/*"))]
KNOWN_FAILURES_FILE = ROOT / "KNOWN-RED.txt"
FIELD_SEPARATOR = " | "
FLAKY_PREFIX = "sometimes "
os.environ["PYTHONPATH"] = os.pathsep.join(map(str, LIBRARIES))
sys.dont_write_bytecode = True
hypothesis.settings.register_profile(
    "repeatable",
    derandomize=EXAMPLES_VARIABLE not in os.environ,
    max_examples=int(os.environ.get(EXAMPLES_VARIABLE, DEFAULT_EXAMPLES)),
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
hypothesis.settings.load_profile("repeatable")


@dataclass(frozen=True)
class KnownFailure:
    """A test that fails because of a fault that is not fixed yet.

    :param symptom: what was observed when the test failed.
    :param is_certain: whether the test fails in every run.
    """

    test: str
    symptom: str
    is_certain: bool


def read_known_failures() -> Iterator[KnownFailure]:
    """Yield the entries of KNOWN-RED.txt."""
    if not KNOWN_FAILURES_FILE.exists():
        return
    for line in KNOWN_FAILURES_FILE.read_text().splitlines():
        name, _, symptom = line.partition(FIELD_SEPARATOR)
        test = name.removeprefix(FLAKY_PREFIX)
        if "::" in test:
            yield KnownFailure(test, symptom, is_certain=test == name)


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the tests in KNOWN-RED.txt as expected failures."""
    known = {failure.test: failure for failure in read_known_failures()}
    for item in items:
        failure = known.get(item.nodeid)
        if failure is not None:
            mark = pytest.mark.xfail(reason=failure.symptom, strict=failure.is_certain)
            item.add_marker(mark)
