"""Writes lines to a descriptor that may block, such as a pipe that nobody reads.

The event loop only appends to a bounded buffer. A thread writes the buffer; it sleeps
while there is nothing to write. Lines that find the buffer full are dropped and
counted.
"""

import os
import threading

MAX_BUFFERED_BYTES = 1024 * 1024
# Lines within this time are written with one call.
WRITE_INTERVAL_SECONDS = 0.05
# Longest wait for a reader at the end of the process.
CLOSE_TIMEOUT_SECONDS = 0.5


class BackgroundStream:
    """Text stream whose ``write`` never blocks.

    :param descriptor: file descriptor that is written.
    :ivar dropped_lines: number of lines for which there was no room.
    """

    def __init__(self, descriptor: int) -> None:
        self.dropped_lines = 0
        self._descriptor = descriptor
        self._lines: list[bytes] = []
        self._buffered_bytes = 0
        self._changed = threading.Condition()
        self._is_closing = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def write(self, text: str) -> None:
        """Append a text to the buffer, or drop it if the buffer is full."""
        data = text.encode(errors="replace")
        with self._changed:
            if self._buffered_bytes + len(data) > MAX_BUFFERED_BYTES:
                self.dropped_lines += 1
                return
            self._lines.append(data)
            self._buffered_bytes += len(data)
            self._changed.notify()

    def flush(self) -> None:
        """Do nothing; the thread writes soon, and waiting for it could block."""

    def close(self) -> None:
        """Write what is buffered, if the descriptor takes it within a short time."""
        self._is_closing.set()
        with self._changed:
            self._changed.notify()
        self._thread.join(CLOSE_TIMEOUT_SECONDS)

    def _run(self) -> None:
        while data := self._take():
            self._write_all(data)
            # Ends at once when the stream is closed.
            self._is_closing.wait(WRITE_INTERVAL_SECONDS)

    def _take(self) -> bytes:
        """Wait for lines and return them; empty once the stream is closed."""
        with self._changed:
            self._changed.wait_for(lambda: self._lines or self._is_closing.is_set())
            data = b"".join(self._lines)
            self._lines.clear()
        return data

    def _write_all(self, data: bytes) -> None:
        """Write and release data; what cannot be written is lost.

        The data count as buffered until then, so that the memory stays bounded.
        """
        remaining = memoryview(data)
        try:
            while remaining:
                remaining = remaining[os.write(self._descriptor, remaining) :]
        except OSError:
            # The reader is gone, and there is no other place to report that.
            self.dropped_lines += bytes(remaining).count(b"\n")
        with self._changed:
            self._buffered_bytes -= len(data)
