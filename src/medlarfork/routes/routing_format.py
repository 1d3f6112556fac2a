"""Read a version of the routing from an operator's body: the product's own format.

It stands apart from the other operations: entry hosts read the routing and nothing else.
"""

from __future__ import annotations

import msgspec

from medlarfork import errors
from medlarfork.routes import routing


def decode(body: bytes) -> routing.Routing:
    """Return a version of the routing.

    Raises:
        errors.ConfigurationError: It can't be read in full.
    """
    try:
        return msgspec.json.decode(body, type=routing.Routing)
    except msgspec.MsgspecError as error:
        raise decode_error(error) from error


def decode_error(cause: Exception) -> errors.ConfigurationError:
    """Return the error for a version of the routing that can't be read."""
    return errors.ConfigurationError(
        f"The routing can't be read in full: {cause}.", remedy="Correct this and send it again."
    )
