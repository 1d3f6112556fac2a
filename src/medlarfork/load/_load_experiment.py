"""Define the experiment file of ``medlar-load``."""

from __future__ import annotations

import dataclasses
import enum

from medlarfork import errors
from medlarfork.settings import settings


class LoadKind(enum.StrEnum):
    """Tell chat completions from calls of a plain service."""

    CHAT = "chat"
    CALL = "call"


@dataclasses.dataclass(frozen=True, slots=True)
class LoadClass:
    """Describe one class of requests.

    Attributes:
        name: Unique name; stands in the report and in every request.
        kind: What is asked for.
        account_key: API key of the client account.
        labels: Value of the ``Medlar-Labels`` header; empty for none.
        rate_per_s: Mean arrivals a second outside bursts.
        burst_on_s: Length of a burst, in seconds; 0 for no bursts.
        burst_off_s: Time between bursts, in seconds; the experiment begins with it.
        burst_factor: Factor by which arrivals are more frequent in a burst.
        first_token_target_s: Target to the first byte of the answer, if any, in seconds.
        whole_target_s: Target for the whole answer, if any, in seconds.
        timeout_s: Time after which the caller gives up, in seconds.
        repeatable: Whether an execution may be repeated; if not, a second one is reported.
        model: For chat: the model.
        stream: For chat: whether the answer is streamed.
        prompt_words: For chat: words of the prompt.
        prompt_groups: For chat: how many beginnings the prompts share.
        tokens_min: For chat: shortest answer, in tokens.
        tokens_max: For chat: longest answer, in tokens.
        max_tokens: For chat: bound that is sent along; 0 for none.
        service: For calls: the plain service.
        method: For calls: the HTTP method.
        path: For calls: the path below the service; ``{number}`` becomes the request's number.
        idempotency_keys: For calls: whether each request carries a key of its own.
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
    """Describe one run.

    Attributes:
        entries: Base addresses of entry hosts that are asked which ones to use.
        classes: The classes; ``[[class]]`` in the file.
        data_centre: Where the callers stand; entry hosts there are preferred.
        seed: Seed of arrivals, lengths and prompts.
        duration_s: How long requests arrive, in seconds.
        drain_s: How long to wait for answers after that, in seconds.
        retries: How often a request that was not run is sent again.
        retry_wait_limit_s: Longest wait before it is sent again, in seconds.
        outstanding_limit: Requests in progress at once; what would go beyond is not sent.
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
    """Refuse an experiment that can't be run.

    Raises:
        errors.SettingsError: Something is missing or contradicts itself.
    """
    if not experiment.entries:
        raise errors.SettingsError(
            "The experiment names no entry host.", remedy='Set entries = ["http://IP:PORT"].'
        )
    names: set[str] = set()
    for load_class in experiment.classes:
        if load_class.name in names:
            raise errors.SettingsError(
                f"Two classes are named {load_class.name}.", remedy="Give each its own name."
            )
        names.add(load_class.name)
        _check_class(load_class)


def _check_class(load_class: LoadClass) -> None:
    if load_class.tokens_min > load_class.tokens_max:
        raise errors.SettingsError(
            f"Class {load_class.name} has tokens_min above tokens_max.",
            remedy="Give the shortest length as tokens_min.",
        )
    needed = load_class.model if load_class.kind is LoadKind.CHAT else load_class.service
    if not needed:
        raise errors.SettingsError(
            f"Class {load_class.name} does not say what to ask.",
            remedy="Set model for chat, or service for calls.",
        )
