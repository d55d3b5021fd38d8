"""Formats the logs of absl.logging as JSON lines."""

import json
import logging as standard_logging
from datetime import UTC, datetime

from absl import flags, logging

from shallotspindle_telemetry.streams import BackgroundStream

STANDARD_ERROR = 2


class JsonFormatter(standard_logging.Formatter):
    """Formats each log record as one line with a JSON object.

    :param instance: name of the instance, which is added to each line.
    """

    def __init__(self, instance: str) -> None:
        super().__init__()
        self._instance = instance

    def format(self, record: standard_logging.LogRecord) -> str:
        fields = {
            "time": datetime.fromtimestamp(record.created, UTC).isoformat(),
            "level": record.levelname.lower(),
            "instance": self._instance,
            "source": f"{record.module}:{record.lineno}",
            "message": record.getMessage(),
        }
        if record.exc_info:
            fields["exception"] = self.formatException(record.exc_info)
        return json.dumps(fields, ensure_ascii=False)


def configure(instance: str, level: int = logging.INFO) -> BackgroundStream:
    """Send all logs of the process to standard error as JSON lines.

    :returns: the stream that is written; the caller closes it at the end.
    """
    # absl warns on standard error until its flags are marked as parsed.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    handler = logging.get_absl_handler()
    handler.setFormatter(JsonFormatter(instance))
    stream = BackgroundStream(STANDARD_ERROR)
    handler.python_handler.stream = stream
    logging.set_verbosity(level)
    return stream
