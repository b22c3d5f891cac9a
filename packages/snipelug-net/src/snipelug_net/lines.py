"""Structured log lines: events with fields, made of records of `logging`."""

import logging

import msgspec

_STANDARD = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime"}

_TRACEBACKS = logging.Formatter()


def encode(record: logging.LogRecord, line: dict[str, object]) -> bytes:
    """Return the JSON of a record: the given fields, the event and its fields."""
    line["event"] = record.getMessage()
    for name, value in vars(record).items():
        if name not in _STANDARD:
            line[name] = value
    if record.exc_info:
        line["traceback"] = _TRACEBACKS.formatException(record.exc_info)
    return msgspec.json.encode(line, enc_hook=str)


def event(logger: logging.Logger, name: str, **fields: object) -> None:
    """Log one event at INFO with its fields."""
    if logger.isEnabledFor(logging.INFO):
        logger.info(name, extra=fields)


def warning(logger: logging.Logger, name: str, **fields: object) -> None:
    """Log one event at WARNING with its fields."""
    logger.warning(name, extra=fields)
