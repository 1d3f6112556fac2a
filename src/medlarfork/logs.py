"""Structured logging: one line of key=value pairs for each event, on standard error."""

from __future__ import annotations

import datetime
import functools
import logging
import os
import re
import sys
from collections.abc import Mapping
from typing import Any, TextIO

import msgspec
from pythonjsonlogger import core

from medlarfork import _log_output, errors

LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR", "CRITICAL")
"""Log levels that settings may name."""

REDACTED = "[redacted]"
"""Replaces a value that must not be logged."""

_SECRET_FIELDS = frozenset(
    {
        "api_key",
        "authorization",
        "cookie",
        "password",
        "private_key",
        "proxy_authorization",
        "secret",
        "secret_key",
        "token",
    }
)
"""Fields whose value is always redacted."""

_SECRET_TEXT = re.compile(r"(?i)\b(bearer|basic)\s+[^\s\"',]+|\bsk-[\w-]{8,}")
"""Credentials that may occur inside any text, such as the message of an exception."""

_PLAIN_VALUE = re.compile(r"[^\s\"'=\\]+")
"""Values that need no quotes, if they are printable."""

_API_KEY_PREFIX = "sk-"
"""Part of every credential that ``_PLAIN_VALUE`` can match, since the others contain a blank; in
lower case."""

MAX_LINES_PER_S = 2000
"""Maximum lines a second that a process logs: several times what the requests of one core need,
so that only a repeating fault is limited."""

_COMMON_FIELDS = frozenset({"event", "ts", "level", "process", "pid", "logger"})
"""Fields at the start of each line, which an event can't overwrite."""

_KEY_CACHE_SIZE = 1024
"""Number of keys whose properties are cached."""

_UNEXPECTED_KEY = re.compile(r"[^A-Za-z0-9_.]")
"""Characters that are replaced in keys."""


def configure(
    level: str,
    process_name: str,
    *,
    stream: TextIO | None = None,
    lines_per_s: int = MAX_LINES_PER_S,
) -> None:
    """Configure all loggers to write to standard error.

    Args:
        level: The lowest level that is logged; one of ``LEVELS``.
        process_name: Name of the process in every line.
        stream: Stream to write to instead of standard error.
        lines_per_s: Maximum lines a second; further ones are dropped and counted.

    Raises:
        errors.SettingsError: If the level is unknown.
    """
    if level.upper() not in LEVELS:
        raise errors.SettingsError(
            f"{level!r} is not a log level.", remedy=f"Set one of {', '.join(LEVELS)}."
        )
    handler = _log_output.LineHandler(stream or sys.stderr, lines_per_s=lines_per_s)
    handler.setFormatter(KeyValueFormatter(process_name))
    # The formatter adds the process itself. Collecting these values for each record would load
    # the multiprocessing module, which no program needs.
    logging.logMultiprocessing = logging.logProcesses = logging.logThreads = False
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level.upper())


def event(
    logger: logging.Logger,
    name: str,
    /,
    *,
    severity: int = logging.INFO,
    cause: BaseException | None = None,
    **fields: Any,
) -> None:
    """Log an event.

    Args:
        logger: The logger of the module in which it happened.
        name: Name of the event, in snake case.
        severity: Level number of the standard ``logging`` module.
        cause: Exception whose traceback is logged.
        **fields: Values by key; None values are omitted.
    """
    if logger.isEnabledFor(severity):
        logger.log(severity, {"event": name, **fields}, exc_info=cause)


class KeyValueFormatter(core.BaseJsonFormatter):
    """Formatter that renders a log record as one line of key=value pairs."""

    def __init__(self, process_name: str) -> None:
        """Create a formatter for the lines of one process."""
        super().__init__()
        self._process = process_name
        self._pid = os.getpid()

    def format(self, record: logging.LogRecord) -> str:
        """Render a record, by an equivalent fast path for events without an exception."""
        fields = record.msg
        if not isinstance(fields, dict) or record.exc_info or record.stack_info:
            return super().format(record)
        event_name = fields.get("event", "message")
        line = [] if event_name is None else [f"event={_render('event', event_name)}"]
        line.append(
            f"ts={_timestamp(record.created)} level={_render('level', record.levelname)}"
            f" process={_render('process', self._process)} pid={self._pid}"
            f" logger={_render('logger', record.name)}"
        )
        for key, value in fields.items():
            if value is not None and key not in _COMMON_FIELDS:
                line.append(f"{_clean_key(key)}={_render(key, value)}")
        return " ".join(line)

    def add_fields(
        self, log_data: dict[str, Any], record: logging.LogRecord, message_dict: dict[str, Any]
    ) -> None:
        """Add the common fields, then those of the event."""
        log_data["event"] = message_dict.get("event", "message")
        log_data["ts"] = _timestamp(record.created)
        log_data["level"] = record.levelname
        log_data["process"] = self._process
        log_data["pid"] = self._pid
        log_data["logger"] = record.name
        if record.message:
            log_data["message"] = record.message
        for key, value in message_dict.items():
            log_data.setdefault(key, value)

    def jsonify_log_record(self, log_data: Mapping[str, Any]) -> str:
        """Render the fields."""
        return " ".join(
            f"{_clean_key(key)}={_render(key, value)}"
            for key, value in log_data.items()
            if value is not None
        )


def _timestamp(seconds: float) -> str:
    moment = datetime.datetime.fromtimestamp(seconds, tz=datetime.UTC)
    return moment.replace(tzinfo=None).isoformat(timespec="milliseconds") + "Z"


@functools.lru_cache(maxsize=_KEY_CACHE_SIZE)
def _clean_key(key: str) -> str:
    return _UNEXPECTED_KEY.sub("_", key)


@functools.lru_cache(maxsize=_KEY_CACHE_SIZE)
def _is_secret(key: str) -> bool:
    return key.lower().replace("-", "_") in _SECRET_FIELDS


def _render(key: str, value: Any) -> str:
    if _is_secret(key):
        return REDACTED
    match value:
        case bool():
            return "true" if value else "false"
        case int():
            return str(value)
        case float():
            return f"{value:.6g}"
    text = str(value)
    if (
        _API_KEY_PREFIX not in text.casefold()
        and text.isprintable()
        and _PLAIN_VALUE.fullmatch(text)
    ):
        return text
    text = _SECRET_TEXT.sub(REDACTED, text)
    if text.isprintable() and _PLAIN_VALUE.fullmatch(text):
        return text
    return _quote(text)


def _quote(text: str) -> str:
    """Return the text in double quotes with line breaks and control characters escaped."""
    # Lone surrogates can't be encoded, and terminals may interpret C1 control characters.
    safe = "".join(
        character if character.isprintable() or ord(character) < 0x80 else f"U+{ord(character):04X}"
        for character in text
    )
    return msgspec.json.encode(safe).decode("utf-8")
