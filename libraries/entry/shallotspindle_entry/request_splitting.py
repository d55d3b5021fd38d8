"""Splits the bytes of a caller into parts that end where a request ends.

The parser loses a complete request if it gets it together with following bytes that are
malformed, and takes bytes behind a request with ``Connection: close`` for an error of
that request. Each request is therefore passed to it separately.
"""

HEAD_END = b"\r\n\r\n"
TAIL_BYTES = len(HEAD_END) - 1
# Each part costs a call of the parser. A chunked body may consist of blank lines, and
# its parts beyond this number are passed on together.
MAX_BODY_PARTS = 64


class RequestSplitter:
    """Holds the bytes of a caller that were not parsed yet."""

    def __init__(self) -> None:
        self._held = bytearray()
        # A blank line may be split over two parts.
        self._tail = b""
        self._remaining_length: int | None = None
        self._is_chunked = False
        self._body_parts = 0

    @property
    def held_bytes(self) -> int:
        """Number of bytes that were not taken yet."""
        return len(self._held)

    @property
    def is_in_head(self) -> bool:
        """Whether a part of a head was taken whose rest has not arrived."""
        in_body = self._is_chunked or self._remaining_length is not None
        return not in_body and bool(self._tail)

    def add(self, data: bytes) -> None:
        """Hold more bytes."""
        self._held += data
        self._body_parts = 0

    def clear(self) -> None:
        """Drop all bytes."""
        self._held.clear()

    def begin_body(self, length: int | None) -> None:
        """Expect a body after the part that was taken last.

        :param length: length of the body in bytes; None for a chunked body.
        """
        self._tail = b""
        self._is_chunked = length is None
        self._remaining_length = length

    def end_body(self) -> None:
        """Expect a head after the part that was taken last."""
        self._tail = b""
        self._is_chunked = False
        self._remaining_length = None

    def take(self) -> bytes:
        """Return the next part, at most up to the end of a request; empty if none."""
        if self._remaining_length is not None:
            size = min(self._remaining_length, len(self._held))
            self._remaining_length -= size
        else:
            size = self._measure_to_blank_line()
        part = bytes(self._held[:size])
        del self._held[:size]
        return part

    def _measure_to_blank_line(self) -> int:
        """Return the length up to the next blank line, or of all bytes.

        A head ends with a blank line, and so does a chunked body.
        """
        if self._is_chunked:
            self._body_parts += 1
            if self._body_parts > MAX_BODY_PARTS:
                self._tail = b""
                return len(self._held)
        elif not self._tail and self._held[:1] in (b"\r", b"\n"):
            # Blank lines before a head are no request.
            del self._held[: len(self._held) - len(self._held.lstrip(b"\r\n"))]
        border = self._tail + self._held[: len(HEAD_END)]
        if (start := border.find(HEAD_END)) >= 0:
            start -= len(self._tail)
        elif (start := self._held.find(HEAD_END)) < 0:
            self._tail = (self._tail + self._held[-TAIL_BYTES:])[-TAIL_BYTES:]
            return len(self._held)
        self._tail = b""
        return start + len(HEAD_END)
