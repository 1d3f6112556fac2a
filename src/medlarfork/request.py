"""A caller's request after parsing, authentication and classification."""

from __future__ import annotations

import dataclasses
import enum

from medlarfork.quarantine import crash_subject


class Outcome(enum.StrEnum):
    """Outcome of a request; every final answer states one.

    ``NOT_RUN`` is used only if no byte was sent to an upstream, or if the upstream itself refused
    the request before executing it.
    """

    COMPLETED = "completed"
    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """Properties of a request that decisions depend on; its body stays with the connection.

    Attributes:
        request_id: Unique over connections, hosts and restarts.
        account: The client account's name.
        class_name: The request class it was assigned to.
        tier: Priority of that class; 1 is the highest.
        service: The service that the request is routed to.
        labels: Account labels, caller's labels, call labels, and the derived keys ``account``,
            ``service``, ``model``, ``method``, ``stream``.
        arrived_at: Monotonic arrival time at the entry host, in seconds.
        deadline_at: Monotonic time of its deadline, in seconds.
        repeatable: False if it may run at most once.
        preemptible: True if its stream may be preempted and resumed.
        key: Idempotency key, generated if the caller sent none; empty if repeatable.
        key_given: Whether the caller sent the key.
        model: Model name; empty for a plain service.
        stream: Whether the caller requested a stream.
        prefix: Digest of the prompt prefix, for prompt-cache affinity; may be empty.
        max_tokens: Maximum number of tokens that the caller allows; None if unlimited.
        body_sha256: Digest of the body, to reject a key that is reused with another body.
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
        """Return the key that repeats of a request share, from the account, target and body."""
        return crash_subject.account_prefix(self.account) + self.body_sha256
