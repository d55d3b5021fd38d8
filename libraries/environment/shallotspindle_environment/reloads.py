"""Reload signals that arrive before the event loop of a daemon handles them.

Without a handler, SIGHUP terminates the process. Most of the start of a daemon is spent
on imports, so the handler is installed before them.
"""

import signal
from types import FrameType


class EarlyReloads:
    """Records SIGHUP from ``install_handler`` on, until an event loop handles it."""

    def __init__(self) -> None:
        self._is_requested = False

    def install_handler(self) -> None:
        """Install the signal handler; must be called in the main thread."""
        signal.signal(signal.SIGHUP, self._record_signal)

    def _record_signal(self, signal_number: int, frame: FrameType | None) -> None:
        self._is_requested = True

    def consume(self) -> bool:
        """Return whether a signal has arrived since the last call."""
        is_requested, self._is_requested = self._is_requested, False
        return is_requested
