import os
import signal

import pytest

from shallotspindle_environment.reloads import EarlyReloads


@pytest.fixture
def early_reloads():
    previous_handler = signal.getsignal(signal.SIGHUP)
    early_reloads = EarlyReloads()
    early_reloads.install_handler()
    yield early_reloads
    signal.signal(signal.SIGHUP, previous_handler)


class TestEarlyReloads:
    def test_a_signal_is_recorded_and_returned_once(self, early_reloads):
        # Guards against a process that SIGHUP terminates while it is starting.
        os.kill(os.getpid(), signal.SIGHUP)
        assert early_reloads.consume()
        assert not early_reloads.consume()

    def test_no_reload_is_requested_without_a_signal(self, early_reloads):
        # Guards against a reload at every start.
        assert not early_reloads.consume()
