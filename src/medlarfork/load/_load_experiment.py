"""Experiment file of ``medlar-load``."""

from __future__ import annotations

import dataclasses
import enum

from medlarfork import errors
from medlarfork.settings import settings


class LoadKind(enum.StrEnum):
    """Kind of the requests of a class: chat completions or calls of a plain service."""

    CHAT = "chat"
    CALL = "call"


@dataclasses.dataclass(frozen=True, slots=True)
class LoadClass:
    """Class of requests.

    Attributes:
        name: Unique name; part of the report and of chat prompts.
        kind: Kind of the requests.
        account_key: API key of the client account.
        labels: Value of the ``Medlar-Labels`` header; empty for none.
        rate_per_s: Mean arrivals a second outside bursts.
        burst_on_s: Length of a burst, in seconds; 0 for no bursts.
        burst_off_s: Time between bursts, in seconds; the experiment starts with it.
        burst_factor: Factor by which arrivals are more frequent in a burst.
        first_token_target_s: Target time to the first byte of the response, if any, in seconds.
        whole_target_s: Target time to the end of the response, if any, in seconds.
        timeout_s: Time after which the caller gives up, in seconds.
        repeatable: Whether a call may be executed more than once; if not, this is reported.
        model: For chat: the model.
        stream: For chat: whether the response is streamed.
        prompt_words: For chat: number of filler words in the prompt.
        prompt_groups: For chat: number of prefix groups, whose prompts share a system prompt.
        tokens_min: For chat: minimum length of a response, in tokens.
        tokens_max: For chat: maximum length of a response, in tokens.
        max_tokens: For chat: value of ``max_tokens`` in the request; 0 for none.
        service: For calls: the plain service.
        method: For calls: the HTTP method.
        path: For calls: the path below the service; ``{number}`` is replaced by the number of
            the request.
        idempotency_keys: For calls: whether each request has its own idempotency key.
    """

    name: str
    kind: LoadKind
    account_key: str
    labels: str = ""
    rate_per_s: float = settings.bounded(1.0, minimum=0.0, maximum=100_000.0)
    burst_on_s: float = settings.bounded(0.0, minimum=0.0, maximum=86400.0)
    burst_off_s: float = settings.bounded(0.0, minimum=0.0, maximum=86400.0)
    burst_factor: float = settings.bounded(1.0, minimum=0.0, maximum=1000.0)
    first_token_target_s: float | None = None
    whole_target_s: float | None = None
    timeout_s: float = settings.bounded(60.0, minimum=0.01, maximum=86400.0)
    repeatable: bool = True
    model: str = ""
    stream: bool = True
    prompt_words: int = settings.bounded(20, minimum=0, maximum=100_000)
    prompt_groups: int = settings.bounded(1, minimum=1, maximum=100_000)
    tokens_min: int = settings.bounded(10, minimum=1, maximum=100_000)
    tokens_max: int = settings.bounded(50, minimum=1, maximum=100_000)
    max_tokens: int = settings.bounded(0, minimum=0, maximum=100_000)
    service: str = ""
    method: str = "GET"
    path: str = "/item/{number}"
    idempotency_keys: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Experiment:
    """Settings of one load run.

    Attributes:
        entries: Base addresses of entry hosts that are asked for the list of entry hosts.
        classes: The classes; ``[[class]]`` in the file.
        data_centre: Data centre of the callers; entry hosts there are preferred.
        seed: Seed of arrivals, lengths and prompts.
        duration_s: How long requests arrive, in seconds.
        drain_s: Maximum time to wait for responses after that, in seconds.
        retries: Maximum retries of a request that did not run.
        retry_wait_limit_s: Maximum delay before a retry, in seconds.
        outstanding_limit: Maximum requests in progress; arrivals beyond are skipped.
    """

    entries: tuple[str, ...]
    classes: tuple[LoadClass, ...] = dataclasses.field(metadata={"key": "class"})
    data_centre: str = ""
    seed: int = 1
    duration_s: float = settings.bounded(10.0, minimum=0.01, maximum=86400.0)
    drain_s: float = settings.bounded(30.0, minimum=0.0, maximum=86400.0)
    retries: int = settings.bounded(2, minimum=0, maximum=100)
    retry_wait_limit_s: float = settings.bounded(2.0, minimum=0.0, maximum=3600.0)
    outstanding_limit: int = settings.bounded(4000, minimum=1, maximum=1_000_000)


def check(experiment: Experiment) -> None:
    """Validate an experiment beyond its types and ranges.

    Raises:
        errors.SettingsError: A setting is missing or contradicts another.
    """
    if not experiment.entries:
        raise errors.SettingsError(
            "The experiment lists no entry host.", remedy='Set entries = ["http://IP:PORT"].'
        )
    names: set[str] = set()
    for load_class in experiment.classes:
        if load_class.name in names:
            raise errors.SettingsError(
                f"Two classes are named {load_class.name}.", remedy="Give each class its own name."
            )
        names.add(load_class.name)
        _check_class(load_class)


def _check_class(load_class: LoadClass) -> None:
    if load_class.tokens_min > load_class.tokens_max:
        raise errors.SettingsError(
            f"Class {load_class.name} has a tokens_min above its tokens_max.",
            remedy="Set tokens_min to the minimum length.",
        )
    needed = load_class.model if load_class.kind is LoadKind.CHAT else load_class.service
    if not needed:
        raise errors.SettingsError(
            f"Class {load_class.name} has no model or service.",
            remedy="Set model for chat, or service for calls.",
        )
