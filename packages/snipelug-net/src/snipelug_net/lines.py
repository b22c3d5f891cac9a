"""Structured JSON log lines, built from the records of `logging`."""

import logging

import msgspec

_STANDARD_ATTRIBUTES = frozenset(vars(logging.makeLogRecord({}))) | {
    "message",
    "asctime",
}

_TRACEBACK_FORMATTER = logging.Formatter()


def encode(record: logging.LogRecord, line: dict[str, object]) -> bytes:
    """Encode a record as JSON: the given fields, its event name and its own fields."""
    line["event"] = record.getMessage()
    for name, value in vars(record).items():
        if name not in _STANDARD_ATTRIBUTES:
            line[name] = value
    if record.exc_info:
        line["traceback"] = _TRACEBACK_FORMATTER.formatException(record.exc_info)
    return msgspec.json.encode(line, enc_hook=str)


def event(logger: logging.Logger, name: str, **fields: object) -> None:
    """Log an event with its fields at level INFO."""
    if logger.isEnabledFor(logging.INFO):
        logger.info(name, extra=fields)


def warning(logger: logging.Logger, name: str, **fields: object) -> None:
    """Log an event with its fields at level WARNING."""
    logger.warning(name, extra=fields)
