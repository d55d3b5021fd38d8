import asyncio

import pytest

from shallotspindle_telemetry import unexpected
from shallotspindle_telemetry.unexpected import UnexpectedErrors


class TestAbsorb:
    def test_an_error_ends_only_its_block_and_is_counted(self):
        # Guards against a task that ends because of one message.
        errors = UnexpectedErrors()
        for _ in range(unexpected.MAX_TRACEBACKS_PER_KIND + 1):
            with errors.absorb("message"):
                raise ZeroDivisionError
        assert errors.counts == {"message": unexpected.MAX_TRACEBACKS_PER_KIND + 1}

    def test_a_cancellation_is_passed_on(self):
        # Guards against a task that cannot be stopped.
        errors = UnexpectedErrors()
        with pytest.raises(asyncio.CancelledError), errors.absorb("message"):
            raise asyncio.CancelledError
        assert not errors.counts


class TestSumCounts:
    def test_errors_of_one_kind_in_two_tasks_are_added(self):
        # Guards against a metric in which one task hides the errors of another.
        tasks = [UnexpectedErrors(), UnexpectedErrors()]
        for errors in tasks:
            with errors.absorb("message"):
                raise ZeroDivisionError
        assert unexpected.sum_counts(tasks) == {"message": 2}
