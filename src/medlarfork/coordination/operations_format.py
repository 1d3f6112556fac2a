"""HTTP format of operations and their replies, with the default API.

A deployment whose operators and upstreams use another format supplies its own ``OperationsFormat``.
"""

from __future__ import annotations

import dataclasses
import urllib.parse
from typing import Protocol

import msgspec

from medlarfork import bounds, errors
from medlarfork.coordination import coordinator_types, upstream_types
from medlarfork.routes import routing, routing_format

CRASH_CASES_PATH = "/v1/crash-cases"
"""Path at which operators list and lift crash cases."""

DUTIES_PATH = "/v1/duties"
"""Path at which operators read the holder and the state of the singleton duties."""

ENTRY_HOSTS_PATH = "/v1/entry-hosts"
"""Path at which operators read the entry hosts and their weights in directory answers."""

PLACEMENT_PATH = "/v1/placement"
"""Path at which operators read the state of the shards that a replica owns."""

_ANNOUNCEMENT = msgspec.json.Decoder(upstream_types.Announcement)

_JSON = {"Content-Type": "application/json"}
"""Headers of every reply with a body."""


@dataclasses.dataclass(frozen=True, slots=True)
class HttpReply:
    """A reply to send over HTTP."""

    status: int
    headers: dict[str, str]
    body: bytes = b""


class OperationsFormat(Protocol):
    """Translates between HTTP and operations."""

    def decode(
        self, method: str, path: str, query: str, body: bytes
    ) -> coordinator_types.Operation:
        """Return the operation.

        Raises:
            errors.RequestRefusedError: There is no such operation, or the request is invalid.
        """
        ...

    def decode_routing(self, body: bytes) -> routing.Routing:
        """Return a version of the routing.

        Raises:
            errors.ConfigurationError: It can't be decoded completely.
        """
        ...

    def encode(self, reply: coordinator_types.Reply, target: str) -> HttpReply:
        """Return the HTTP reply; ``target`` is the path of the request with its query."""
        ...


class OwnFormat:
    """The default API.

    ``PUT /v1/routing`` and ``GET /v1/routing`` for operators, ``PUT /v1/upstreams/ID`` and ``DELETE
    /v1/upstreams/ID`` for upstreams, ``GET /v1/entries?zone=ZONE`` for callers, ``GET
    /v1/crash-cases``, ``DELETE /v1/crash-cases/KEY``, ``GET /v1/duties``, ``GET
    /v1/entry-hosts`` and ``GET /v1/placement`` for operators.
    """

    def __init__(self, *, http_port: int) -> None:
        """Use the HTTP port at which every replica serves operations."""
        self._http_port = http_port

    def decode(
        self, method: str, path: str, query: str, body: bytes
    ) -> coordinator_types.Operation:
        """Return the operation (see ``OperationsFormat``)."""
        if path == "/v1/routing" and method == "GET":
            return coordinator_types.GetRouting()
        if path == "/v1/routing" and method == "PUT":
            return coordinator_types.PutRouting(self.decode_routing(body).version, body)
        if path == "/v1/entries" and method == "GET":
            zone = urllib.parse.parse_qs(query).get("zone", [""])[0]
            return coordinator_types.FindEntries(zone)
        if path == CRASH_CASES_PATH and method == "GET":
            return coordinator_types.ListCrashCases()
        if path == DUTIES_PATH and method == "GET":
            return coordinator_types.ListDuties()
        if path == ENTRY_HOSTS_PATH and method == "GET":
            return coordinator_types.ListEntryHosts()
        if path == PLACEMENT_PATH and method == "GET":
            return coordinator_types.ListPlacement()
        folder, _, upstream_id = path.rpartition("/")
        if folder == "/v1/upstreams" and method == "DELETE":
            return coordinator_types.Withdraw(checked_name(upstream_id))
        if folder == CRASH_CASES_PATH and method == "DELETE":
            return coordinator_types.LiftCrashCase(checked_name(upstream_id))
        if folder == "/v1/upstreams" and method == "PUT":
            return coordinator_types.Announce(_decode_announcement(upstream_id, body))
        raise unknown_operation(method, path)

    def decode_routing(self, body: bytes) -> routing.Routing:
        """Return a version of the routing (see ``OperationsFormat``)."""
        return routing_format.decode(body)

    def encode(self, reply: coordinator_types.Reply, target: str) -> HttpReply:
        """Return the HTTP reply (see ``OperationsFormat``)."""
        match reply:
            case coordinator_types.Accepted():
                return HttpReply(200, _JSON, b"{}")
            case coordinator_types.RoutingFound(_, body):
                return HttpReply(200, _JSON, body)
            case (
                coordinator_types.EntriesFound()
                | coordinator_types.CrashCasesFound()
                | coordinator_types.DutiesFound()
                | coordinator_types.EntryHostsFound()
                | coordinator_types.PlacementFound()
            ):
                return HttpReply(200, _JSON, msgspec.json.encode(reply))
            case coordinator_types.AskLeader(leader_id):
                return redirect_to_leader(leader_id, self._http_port, target)
            case coordinator_types.Unavailable(why):
                return unavailable(why)


def _decode_announcement(name: str, body: bytes) -> upstream_types.Announcement:
    try:
        announced = bounds.decode_json(_ANNOUNCEMENT, body)
    except msgspec.MsgspecError as error:
        raise invalid_announcement(error) from error
    upstream_id = upstream_types.incarnation_id(name, announced.born_ms)
    named = dataclasses.replace(
        announced,
        upstream_id=upstream_id,
        name=name if announced.born_ms else "",
        version=announced.version or "",
    )
    return checked_announcement(named)


def checked_announcement(announcement: upstream_types.Announcement) -> upstream_types.Announcement:
    """Return the announcement if it is valid.

    Raises:
        errors.RequestRefusedError: It is invalid and has to be ignored.
    """
    reason = upstream_types.invalid_reason(announcement)
    if reason:
        raise invalid_announcement(ValueError(reason))
    return announcement


def checked_name(name: str) -> str:
    """Return the name in a path if it can be the one of something.

    Raises:
        errors.RequestRefusedError: It can't.
    """
    if not upstream_types.is_name(name):
        raise errors.RequestRefusedError(
            "The name is missing, too long, or has characters that can't be shown.",
            remedy="Correct the path and send it again.",
            code=errors.Code.BAD_REQUEST,
            status=400,
        )
    return name


def redirect_to_leader(leader_id: str, http_port: int, target: str) -> HttpReply:
    """Return the redirect to the leader."""
    return HttpReply(307, {"Location": f"http://{leader_id}:{http_port}{target}"})


def unavailable(why: str) -> HttpReply:
    """Return the reply that makes the caller retry."""
    return HttpReply(503, {**_JSON, "Retry-After": "0.2"}, msgspec.json.encode({"why": why}))


def unknown_operation(method: str, path: str) -> errors.RequestRefusedError:
    """Return the error for a request that matches no operation."""
    return errors.RequestRefusedError(
        f"There is no operation {method} {path[:100]}.",
        remedy="See docs/operators for the operations of a replica.",
        code=errors.Code.NOT_FOUND,
        status=404,
    )


def invalid_announcement(cause: Exception) -> errors.RequestRefusedError:
    """Return the error for an invalid announcement."""
    return errors.RequestRefusedError(
        f"The announcement is invalid: {cause}.",
        remedy="Correct this and send it again.",
        code=errors.Code.BAD_REQUEST,
        status=400,
    )
