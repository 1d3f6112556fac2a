"""Identifies the client account of a request by its API key."""

from __future__ import annotations

import hashlib
from collections.abc import Mapping

from medlarfork import errors
from medlarfork.declared import configuration

_SCHEME = "bearer "


def identify(
    declared: configuration.Configuration, headers: Mapping[str, str]
) -> configuration.Account:
    """Return the account whose key is in the ``Authorization`` header.

    The key is hashed before the lookup, so that the duration of the lookup reveals nothing about
    existing keys.

    Raises:
        errors.RequestRefusedError: There is no key, or no account has it.
    """
    header = headers.get("authorization", "")
    if not header[: len(_SCHEME)].lower() == _SCHEME:
        raise _invalid_key("The request has no API key.")
    key = header[len(_SCHEME) :].strip()
    digest = hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()
    account = declared.account_by_key_sha256.get(digest)
    if account is None:
        raise _invalid_key("No client account has this API key.")
    return account


def _invalid_key(problem: str) -> errors.RequestRefusedError:
    return errors.RequestRefusedError(
        problem,
        remedy="Send 'Authorization: Bearer KEY' with a key of your client account.",
        code=errors.Code.INVALID_API_KEY,
        status=401,
        headers={"WWW-Authenticate": "Bearer"},
    )
