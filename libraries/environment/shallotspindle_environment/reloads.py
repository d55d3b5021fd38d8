"""Requests to reload that come before a daemon can take them.

Without a handler SIGHUP ends the process; importing the daemon takes most of its start.
"""

import signal
from types import FrameType


class EarlyReloads:
    """Notes SIGHUP from ``listen`` until the event loop handles the signal."""

    def __init__(self) -> None:
        self._asked = False

    def listen(self) -> None:
        """Handle the signal in this process; call it from the main thread."""
        signal.signal(signal.SIGHUP, self._note)

    def _note(self, number: int, frame: FrameType | None) -> None:
        self._asked = True

    def take(self) -> bool:
        """Return whether a reload was asked for since the last call."""
        asked, self._asked = self._asked, False
        return asked
