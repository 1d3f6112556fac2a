"""Decode a version of the routing from JSON, the native format of operators' requests.

Separate from the other operations, because entry hosts decode only the routing.
"""

from __future__ import annotations

import msgspec

from medlarfork import bounds, errors
from medlarfork.routes import routing

_ROUTING = msgspec.json.Decoder(routing.Routing)


def decode(body: bytes) -> routing.Routing:
    """Decode a version of the routing.

    Raises:
        errors.ConfigurationError: The body can't be decoded.
    """
    try:
        return bounds.decode_json(_ROUTING, body)
    except msgspec.MsgspecError as error:
        raise decode_error(error) from error


def decode_error(cause: Exception) -> errors.ConfigurationError:
    """Return the error for a version of the routing that can't be decoded."""
    return errors.ConfigurationError(
        f"The routing can't be decoded: {cause}.", remedy="Correct this and send it again."
    )
