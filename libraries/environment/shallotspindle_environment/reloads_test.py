import os
import signal

import pytest

from shallotspindle_environment.reloads import EarlyReloads


@pytest.fixture
def reloads():
    before = signal.getsignal(signal.SIGHUP)
    found = EarlyReloads()
    found.listen()
    yield found
    signal.signal(signal.SIGHUP, before)


class TestEarlyReloads:
    def test_a_signal_before_the_start_is_noted_once(self, reloads):
        # Guards against a process that SIGHUP ends while it still starts.
        os.kill(os.getpid(), signal.SIGHUP)
        assert reloads.take()
        assert not reloads.take()

    def test_without_a_signal_nothing_is_noted(self, reloads):
        assert not reloads.take()
