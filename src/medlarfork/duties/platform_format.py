"""HTTP format of calls to a deployment's platform: the interface and the default format.

A deployment whose platform uses another format passes its own ``PlatformFormat``.
"""

from __future__ import annotations

import dataclasses
from typing import Protocol

import msgspec

from medlarfork.duties import duty_types


@dataclasses.dataclass(frozen=True, slots=True)
class HttpCall:
    """An encoded call: the parts of an HTTP request."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class PlatformFormat(Protocol):
    """Encodes calls as HTTP requests."""

    def encode(self, call: duty_types.PlatformCall, fence: int) -> HttpCall:
        """Return a call's HTTP request; the fence increases with each holder."""
        ...


class DefaultFormat:
    """Default format.

    ``PUT /v1/usage/WINDOW`` and ``PUT /v1/engines/SERVICE/ZONE``.
    """

    def __init__(self, holder: str) -> None:
        """Use a replica's name as the holder."""
        self._holder = holder

    def encode(self, call: duty_types.PlatformCall, fence: int) -> HttpCall:
        """Return a call's HTTP request (see ``PlatformFormat``)."""
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
