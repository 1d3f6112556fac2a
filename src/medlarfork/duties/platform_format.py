"""Define how calls to a deployment's platform go out over HTTP: the product's own format.

A deployment whose platform speaks another format passes another ``PlatformFormat``.
"""

from __future__ import annotations

import dataclasses
from typing import Protocol

import msgspec

from medlarfork.duties import duty_types


@dataclasses.dataclass(frozen=True, slots=True)
class HttpCall:
    """Hold a call as it goes out."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class PlatformFormat(Protocol):
    """Translate calls; it decides nothing."""

    def encode(self, call: duty_types.PlatformCall, fence: int) -> HttpCall:
        """Return how a call goes out; the fence grows with each holder."""
        ...


class DefaultFormat:
    """Speak the product's own paths and names.

    ``PUT /v1/usage/WINDOW`` and ``PUT /v1/engines/SERVICE/ZONE``.
    """

    def __init__(self, holder: str) -> None:
        """Use the name of this replica."""
        self._holder = holder

    def encode(self, call: duty_types.PlatformCall, fence: int) -> HttpCall:
        """Return how a call goes out (see ``PlatformFormat``)."""
        headers = {
            "Content-Type": "application/json",
            "Medlar-Holder": self._holder,
            "Medlar-Fence": str(fence),
        }
        match call:
            case duty_types.ReportUsage(window, counts):
                return HttpCall("PUT", f"/v1/usage/{window}", headers, msgspec.json.encode(counts))
            case duty_types.ScaleEngines(service, zone):
                body = msgspec.json.encode(call)
                return HttpCall("PUT", f"/v1/engines/{service}/{zone}", headers, body)
