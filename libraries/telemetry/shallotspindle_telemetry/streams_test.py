import os

from shallotspindle_telemetry import streams
from shallotspindle_telemetry.streams import BackgroundStream


class TestBackgroundStream:
    def test_lines_arrive_in_order(self):
        reader, writer = os.pipe()
        stream = BackgroundStream(writer)
        for number in range(100):
            stream.write(f"{number}\n")
        stream.close()
        os.close(writer)
        with os.fdopen(reader) as lines:
            assert lines.read().split() == [str(number) for number in range(100)]
        assert stream.dropped_lines == 0

    def test_a_pipe_that_nobody_reads_blocks_no_writer(self):
        # Guards against a process that hangs for good when nobody reads its output.
        reader, writer = os.pipe()
        stream = BackgroundStream(writer)
        line = "x" * 1023 + "\n"
        count = 2 * streams.MAX_BUFFERED_BYTES // len(line)
        for _ in range(count):
            stream.write(line)
        assert count // 3 < stream.dropped_lines < count
        stream.close()
        os.close(reader)

    def test_a_reader_that_is_gone_ends_nothing(self):
        # Guards against an error in the thread that stops all later lines.
        reader, writer = os.pipe()
        os.close(reader)
        stream = BackgroundStream(writer)
        stream.write("lost\n")
        stream.close()
        assert stream.dropped_lines == 1
        assert not stream._thread.is_alive()
