"""Describe one caller's request once it has been parsed, identified and classified."""

from __future__ import annotations

import dataclasses
import enum

from medlarfork.quarantine import request_key


class Outcome(enum.StrEnum):
    """Say what became of a request; every final answer carries one of these.

    ``NOT_RUN`` is said only if no byte left for an upstream, or the upstream itself refused
    before executing.
    """

    COMPLETED = "completed"
    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """Hold what decisions need to know of a request; its body stays with the connection.

    Attributes:
        request_id: Unique over connections, hosts and restarts.
        account: The client account's name.
        class_name: The request class it was assigned to.
        tier: Priority of that class; 1 is the highest.
        service: The service that answers it.
        labels: Account labels, caller's labels, call labels, and the derived keys ``account``,
            ``service``, ``model``, ``method``, ``stream``.
        arrived_at: Monotonic time of arrival at the entry host, in seconds.
        deadline_at: Monotonic time after which the answer is of no use, in seconds.
        repeatable: False if it may run at most once.
        preemptible: True if its stream may be paused and resumed.
        key: Idempotency key, made up if the caller gave none (empty if repeatable).
        key_given: Whether the caller gave the key.
        model: Model name; empty for a plain service.
        stream: Whether the caller asked for a stream.
        prefix: Digest of the prompt's beginning, for prompt-cache affinity; may be empty.
        max_tokens: Most tokens the caller allows; None if it named no bound.
        body_sha256: Digest of the body, so that a reused key with another body is refused.
    """

    request_id: str
    account: str
    class_name: str
    tier: int
    service: str
    labels: dict[str, str]
    arrived_at: float
    deadline_at: float
    repeatable: bool = True
    preemptible: bool = False
    key: str = ""
    key_given: bool = False
    model: str = ""
    stream: bool = False
    prefix: str = ""
    max_tokens: int | None = None
    body_sha256: str = ""

    @property
    def repeat_key(self) -> str:
        """Return what the caller's repeats share, by the account and the body with its target."""
        return request_key.account_prefix(self.account) + self.body_sha256
