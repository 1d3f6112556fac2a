"""Errors raised by the package; each has a code and a message that includes a remedy."""

from __future__ import annotations

import enum


class Code(enum.StrEnum):
    """Error code for programs; values are stable across versions."""

    ACCOUNT_LIMIT = "account_limit"
    ALREADY_RAN = "already_ran"
    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    CHANGE_CONFLICT = "change_conflict"
    CHANGE_TOO_OLD = "change_too_old"
    CONFIGURATION_INVALID = "configuration_invalid"
    DAMAGED_JOURNAL = "damaged_journal"
    DEADLINE = "deadline"
    DRAINING = "draining"
    ENDS_UPSTREAMS = "ends_upstreams"
    HEADER_TOO_LARGE = "header_too_large"
    INVALID_API_KEY = "invalid_api_key"
    JOURNAL_FAILED = "journal_failed"
    KEY_EXPIRED = "key_expired"
    KEY_REUSED = "key_reused"
    LINK = "link"
    MODEL_NOT_FOUND = "model_not_found"
    NO_CAPACITY = "no_capacity"
    NO_QUORUM = "no_quorum"
    NOT_FOUND = "not_found"
    NOT_LEADER = "not_leader"
    OVERLOADED = "overloaded"
    REQUEST_TIMEOUT = "request_timeout"
    SELECTOR_SYNTAX = "selector_syntax"
    SETTINGS_INVALID = "settings_invalid"
    STALE_CONFIGURATION = "stale_configuration"
    STALE_FENCE = "stale_fence"
    STREAM_VERSION = "stream_version"
    UNCERTAIN = "uncertain"
    UPSTREAM_FAILED = "upstream_failed"


class MedlarError(Exception):
    """Base class of all errors, with a code, the problem and a remedy.

    Attributes:
        code: Stable error code.
        remedy: How to resolve the problem; always a full sentence.
    """

    code: Code = Code.BAD_REQUEST

    def __init__(self, problem: str, *, remedy: str, code: Code | None = None) -> None:
        """Create the error; ``code`` overrides the code of the class."""
        super().__init__(f"{problem} {remedy}")
        self.problem = problem
        self.remedy = remedy
        if code is not None:
            self.code = code


class SelectorSyntaxError(MedlarError):
    """A selector that does not parse."""

    code = Code.SELECTOR_SYNTAX


class ConfigurationError(MedlarError):
    """An invalid declared configuration."""

    code = Code.CONFIGURATION_INVALID


class SettingsError(MedlarError):
    """A command line or settings file that a program can't start with."""

    code = Code.SETTINGS_INVALID


class DamagedJournalError(MedlarError):
    """A journal that is damaged other than by an incomplete write at its end."""

    code = Code.DAMAGED_JOURNAL


class DiskFullError(MedlarError):
    """A write that failed because the disk is full, and left no partial data."""

    code = Code.JOURNAL_FAILED


class JournalError(MedlarError):
    """A data folder that can't be used, or a failed write to it."""

    code = Code.JOURNAL_FAILED


class BrokenStateError(MedlarError):
    """A failure that leaves the state of a replicated log in doubt; the process must end."""

    code = Code.UNCERTAIN


class LinkError(MedlarError):
    """A link between processes that can't be opened or authenticated."""

    code = Code.LINK


class HttpLimitError(MedlarError):
    """A peer that violated a limit or the syntax of HTTP."""

    code = Code.BAD_REQUEST


class CallerDisconnectedError(HttpLimitError):
    """A caller that closed, reset or stopped reading its connection."""


class UpstreamError(MedlarError):
    """An upstream that refused the request, failed, or lost its connection.

    Attributes:
        request_sent: Whether any byte of the request may have been sent.
    """

    code = Code.UPSTREAM_FAILED
    request_sent = True


class RequestNotSentError(UpstreamError):
    """A request of which no byte was sent, so that the upstream can't have run it."""

    request_sent = False


class RequestWithdrawnError(RequestNotSentError):
    """A request that its sender withdrew before any byte of it was sent."""


class RequestSupersededError(UpstreamError):
    """A sent request whose answer is not needed, since another attempt was answered first."""


class OperatorError(MedlarError):
    """An operator's request that was refused."""

    code = Code.BAD_REQUEST


class ControlUnreachableError(OperatorError):
    """No control leader could be reached before the timeout."""

    code = Code.NOT_LEADER


class ModelNotFoundError(MedlarError):
    """A request for a model that no service lists."""

    code = Code.MODEL_NOT_FOUND


class ServiceNotFoundError(MedlarError):
    """A request for a service that is not declared."""

    code = Code.NOT_FOUND


class RequestLabelsError(MedlarError):
    """Request labels that the caller may not use."""

    code = Code.BAD_REQUEST


class RequestRefusedError(MedlarError):
    """A caller's request that is rejected before any part of it has run.

    Attributes:
        status: HTTP status of the answer.
        headers: Additional headers of the answer.
    """

    def __init__(
        self,
        problem: str,
        *,
        remedy: str,
        code: Code,
        status: int,
        headers: dict[str, str] | None = None,
    ) -> None:
        """Create the error."""
        super().__init__(problem, remedy=remedy, code=code)
        self.status = status
        self.headers = headers or {}
