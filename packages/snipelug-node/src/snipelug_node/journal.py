"""Logging as JSON lines with stable event names."""

import logging
import sys
import time

from snipelug_net import lines


class JsonFormatter(logging.Formatter):
    """Format a record and its extra fields as one JSON object."""

    def __init__(self, node_id: str) -> None:
        super().__init__()
        self._node_id = node_id

    def format(self, record: logging.LogRecord) -> str:
        """Return the JSON line for one record."""
        line: dict[str, object] = {
            "time": time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
            + f".{int(record.msecs):03d}Z",
            "level": record.levelname.lower(),
            "node": self._node_id,
            "logger": record.name,
        }
        return lines.encode(record, line).decode()


def configure_logging(node_id: str, level: str) -> None:
    """Log to standard error as JSON lines."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonFormatter(node_id))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    # At DEBUG, the RPC library's HTTP/2 codec logs every frame.
    logging.getLogger("hpack").setLevel(logging.WARNING)
