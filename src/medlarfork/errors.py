"""Define every error the package raises; each has a code and a message that names the remedy."""

from __future__ import annotations

import enum


class Code(enum.StrEnum):
    """Identify an error kind to programs; the text is stable across versions."""

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
    UNCERTAIN = "uncertain"
    UPSTREAM_FAILED = "upstream_failed"


class MedlarError(Exception):
    """Carry a code, what went wrong and what to do about it.

    Attributes:
        code: The stable kind of the error.
        remedy: What the reader can do; always a full sentence.
    """

    code: Code = Code.BAD_REQUEST

    def __init__(self, problem: str, *, remedy: str, code: Code | None = None) -> None:
        """Build the error; ``code`` overrides the kind's own."""
        super().__init__(f"{problem} {remedy}")
        self.problem = problem
        self.remedy = remedy
        if code is not None:
            self.code = code


class SelectorSyntaxError(MedlarError):
    """Report a selector text that does not parse."""

    code = Code.SELECTOR_SYNTAX


class ConfigurationError(MedlarError):
    """Report a declared configuration that can't be accepted."""

    code = Code.CONFIGURATION_INVALID


class SettingsError(MedlarError):
    """Report a settings file that a program can't start from."""

    code = Code.SETTINGS_INVALID


class DamagedJournalError(MedlarError):
    """Report a journal damaged elsewhere than at its torn tail."""

    code = Code.DAMAGED_JOURNAL


class DiskFullError(MedlarError):
    """Report a write that found no room and left nothing behind."""

    code = Code.JOURNAL_FAILED


class JournalError(MedlarError):
    """Report a data folder that can't be used, or a write to it that failed."""

    code = Code.JOURNAL_FAILED


class LinkError(MedlarError):
    """Report a link between processes that can't be opened or authenticated."""

    code = Code.LINK


class HttpLimitError(MedlarError):
    """Report a peer that broke a limit or the grammar of HTTP."""

    code = Code.BAD_REQUEST


class CallerDisconnectedError(HttpLimitError):
    """Report a caller that closed, reset or stopped reading its connection."""


class UpstreamError(MedlarError):
    """Report an upstream that refused, failed or was cut.

    Attributes:
        request_sent: Whether any byte of the request may have left.
    """

    code = Code.UPSTREAM_FAILED
    request_sent = True


class RequestNotSentError(UpstreamError):
    """Report a request of which no byte left: the upstream can't have run it."""

    request_sent = False


class RequestWithdrawnError(RequestNotSentError):
    """Report a request that its sender withdrew before a byte of it left."""


class OperatorError(MedlarError):
    """Report an operators' request that was refused."""

    code = Code.BAD_REQUEST


class ControlUnreachableError(OperatorError):
    """Report that no control leader could be reached in time."""

    code = Code.NOT_LEADER


class ModelNotFoundError(MedlarError):
    """Report a request for a model that no service lists."""

    code = Code.MODEL_NOT_FOUND


class ServiceNotFoundError(MedlarError):
    """Report a request for a service that is not declared."""

    code = Code.NOT_FOUND


class RequestLabelsError(MedlarError):
    """Report request labels that a caller may not use."""

    code = Code.BAD_REQUEST


class RequestRefusedError(MedlarError):
    """Report a caller's request that is refused before anything of it has run.

    Attributes:
        status: The HTTP status to answer with.
        headers: Headers beyond those of every answer.
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
        """Build the error."""
        super().__init__(problem, remedy=remedy, code=code)
        self.status = status
        self.headers = headers or {}
