"""Logs as JSON lines through absl.logging."""

import json
import logging as standard_logging
from datetime import UTC, datetime

from absl import flags, logging


class JsonFormatter(standard_logging.Formatter):
    """Formats a record as one JSON object a line.

    :param instance: name that is added to each line.
    """

    def __init__(self, instance: str) -> None:
        super().__init__()
        self._instance = instance

    def format(self, record: standard_logging.LogRecord) -> str:
        line = {
            "time": datetime.fromtimestamp(record.created, UTC).isoformat(),
            "level": record.levelname.lower(),
            "instance": self._instance,
            "source": f"{record.module}:{record.lineno}",
            "message": record.getMessage(),
        }
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return json.dumps(line, ensure_ascii=False)


def configure(instance: str, level: int = logging.INFO) -> None:
    """Send all logs of the process to standard error as JSON lines."""
    # absl warns on standard error until its flags count as parsed.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.get_absl_handler().setFormatter(JsonFormatter(instance))
    logging.set_verbosity(level)
