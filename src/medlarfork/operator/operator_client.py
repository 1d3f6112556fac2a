"""Operators' client for control: finds the leader and retries requests that are safe to resend."""

from __future__ import annotations

import collections
import dataclasses
import time
import urllib.parse
from collections.abc import Mapping
from typing import Any, Protocol, TypeVar

import curio
import msgspec

from medlarfork import errors
from medlarfork.control import replicated_state
from medlarfork.declared import configuration as configurations
from medlarfork.http import http_client
from medlarfork.operator import operations
from medlarfork.orders import order_types

T = TypeVar("T")

_RETRY_INTERVAL_S = 0.2
"""Interval between two rounds over the control hosts, in seconds."""

_MISDIRECTED = 421
_NEXT_HOST_CODES = frozenset(
    {errors.Code.NOT_LEADER.value, errors.Code.NO_QUORUM.value, errors.Code.UNCERTAIN.value}
)
"""Refusals after which another host, or the same one later, may accept the request."""


class Http(Protocol):
    """Interface of the HTTP client, implemented by ``http_client.HttpClient``."""

    async def request(
        self,
        address: str,
        method: str,
        target: str,
        headers: Mapping[str, str],
        body: bytes,
        *,
        timeout_s: float | None = None,
    ) -> http_client.Response:
        """Send a request and return the response once its head has been received."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class ClientSettings:
    """Settings of the client.

    Attributes:
        controls: Base addresses of the control hosts, ``http://IP:PORT``.
        operator_key: Key that authenticates the operator; empty for none.
        operator: Name for the history of changes, if control authenticates nobody.
        request_s: Timeout of one request, in seconds.
        patience_s: Timeout for finding a leader, in seconds.
    """

    controls: tuple[str, ...]
    operator_key: str = ""
    operator: str = ""
    request_s: float = 5.0
    patience_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class ErrorDetail:
    """Content of a refusal; absent fields are empty."""

    code: str = ""
    message: str = ""
    remedy: str = ""
    leader_address: str = ""
    winner: replicated_state.ChangeRecord | None = None
    findings: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class _ErrorBody:
    error: ErrorDetail


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    status: int
    body: bytes

    @property
    def detail(self) -> ErrorDetail:
        """Return the refusal in the body, or a generic one if it can't be decoded."""
        try:
            return msgspec.json.decode(self.body, type=_ErrorBody).error
        except (msgspec.MsgspecError, UnicodeDecodeError):
            return ErrorDetail(message=f"The host answered with status {self.status}.")


class OperatorClient:
    """Sends operators' requests to the leading control host."""

    def __init__(self, http: Http, settings: ClientSettings) -> None:
        """Create the client; the caller starts and closes the HTTP client."""
        self._http = http
        self._settings = settings
        self._preferred = ""

    async def apply(
        self, change_id: str, base_revision: int, configuration: configurations.Configuration
    ) -> operations.ChangeAccepted:
        """Replace the configuration; the change is resent with the same id until control answers.

        Raises:
            errors.OperatorError: The change was refused, for example because of a conflict.
            errors.ControlUnreachableError: No leader answered in time.
        """
        change = operations.ApplyChange(
            change_id, base_revision, configuration, self._settings.operator
        )
        body = msgspec.json.encode(change)
        accepted = await self._ask("POST", "/v1/changes", _Revision, body)
        return operations.ChangeAccepted(change_id, accepted.revision)

    async def configuration(self, revision: int | None = None) -> operations.ConfigurationReply:
        """Return the configuration of a revision; None for the current one."""
        query = "" if revision is None else f"?revision={revision}"
        return await self._ask("GET", f"/v1/configuration{query}", operations.ConfigurationReply)

    async def history(self) -> operations.HistoryReply:
        """Return the last accepted changes."""
        return await self._ask("GET", "/v1/history", operations.HistoryReply)

    async def members(self) -> operations.MembersReply:
        """Return the entry hosts with the revisions they confirmed."""
        return await self._ask("GET", "/v1/members", operations.MembersReply)

    async def knows_upstream(self, upstream_id: str) -> bool:
        """Return whether entry hosts currently report an upstream of that id."""
        target = f"/v1/upstreams?{urllib.parse.urlencode({'id': upstream_id})}"
        reply = await self._ask("GET", target, operations.KnownUpstreams)
        return upstream_id in reply.upstream_ids

    async def in_force(self, revision: int) -> operations.InForceReply:
        """Return which entry hosts have a revision in force."""
        target = f"/v1/in-force?revision={revision}"
        return await self._ask("GET", target, operations.InForceReply)

    async def change_voters(self, *, add: str = "", remove: str = "") -> operations.VotersChanged:
        """Add or remove one control replica; never resent if it may have been received."""
        body = msgspec.json.encode(operations.ChangeVoters(add=add, remove=remove))
        return await self._ask("POST", "/v1/voters", operations.VotersChanged, body, resend=False)

    async def orders(self) -> operations.OrdersReply:
        """Return the desired state of engines, the orders in progress, and what waits."""
        return await self._ask("GET", "/v1/orders", operations.OrdersReply)

    async def declare_order(self, declare: order_types.Declare) -> operations.ChangeAccepted:
        """Declare the desired state of some engines; a resent declaration gets the first reply."""
        body = msgspec.json.encode(declare)
        return await self._ask("POST", "/v1/orders", operations.ChangeAccepted, body)

    async def status(self, address: str) -> operations.StatusReply:
        """Return the status of one control host, whether it leads or not."""
        answer = await self._send(address, "GET", "/v1/status", b"")
        return _decoded(answer, operations.StatusReply)

    async def explain(self, entry: str, query: Mapping[str, str]) -> Any:
        """Return which class and service an entry host would choose for a request, and why."""
        target = f"/v1/explain?{urllib.parse.urlencode(query)}"
        return _decoded(await self._send(entry, "GET", target, b""), Any)

    async def _ask(
        self, method: str, target: str, kind: Any, body: bytes = b"", *, resend: bool = True
    ) -> Any:
        give_up_at = time.monotonic() + self._settings.patience_s
        problem = ""
        while True:
            answer, problem = await self._ask_each_host(method, target, body, resend)
            if answer is not None:
                return _decoded(answer, kind)
            if time.monotonic() >= give_up_at:
                raise errors.ControlUnreachableError(
                    f"No control leader answered: {problem}",
                    remedy="Check the addresses in --control and that most control hosts run.",
                )
            await curio.sleep(_RETRY_INTERVAL_S)

    async def _ask_each_host(
        self, method: str, target: str, body: bytes, resend: bool
    ) -> tuple[_Answer | None, str]:
        """Ask each host once, following leader hints; return an answer or the last problem."""
        pending = collections.deque((self._preferred,) if self._preferred else ())
        pending.extend(self._settings.controls)
        visited: set[str] = set()
        problem = "no address is known."
        while pending:
            address = pending.popleft()
            if address in visited:
                continue
            visited.add(address)
            try:
                answer = await self._send(address, method, target, body)
            except errors.UpstreamError as error:
                _check_resend(error, resend)
                problem = f"{address}: {error.problem}"
                continue
            if _is_final(answer, resend):
                self._preferred = address
                return answer, ""
            problem = f"{address}: {answer.detail.message}"
            if answer.detail.leader_address:
                pending.appendleft(answer.detail.leader_address)
        self._preferred = ""
        return None, problem

    async def _send(self, address: str, method: str, target: str, body: bytes) -> _Answer:
        headers = {"Accept": "application/json"}
        if body:
            headers["Content-Type"] = "application/json"
        if self._settings.operator_key:
            headers["Authorization"] = f"Bearer {self._settings.operator_key}"
        response = await self._http.request(
            address, method, target, headers, body, timeout_s=self._settings.request_s
        )
        return _Answer(response.status, await response.read())


@dataclasses.dataclass(frozen=True, slots=True)
class _Revision:
    revision: int


def _is_final(answer: _Answer, resend: bool) -> bool:
    """Return whether the answer is final, so that neither retry nor another host can help."""
    if answer.status < 400:
        return True
    code = answer.detail.code
    if code == errors.Code.UNCERTAIN.value and not resend:
        return True
    return answer.status != _MISDIRECTED and code not in _NEXT_HOST_CODES


def _check_resend(error: errors.UpstreamError, resend: bool) -> None:
    """Raise an error if the request may have been received and must not be resent."""
    if resend or isinstance(error, errors.RequestNotSentError):
        return
    raise errors.ControlUnreachableError(
        f"The reply was lost, so the request may have been carried out: {error.problem}",
        remedy="Check medlarctl status before you repeat it.",
        code=errors.Code.UNCERTAIN,
    ) from error


def _decoded(answer: _Answer, kind: Any) -> Any:
    if answer.status >= 400:
        raise refusal(answer.detail)
    try:
        return msgspec.json.decode(answer.body, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise errors.OperatorError(
            f"The reply could not be decoded: {error}.",
            remedy="Run the medlarctl of the same version as the hosts.",
        ) from error


def refusal(detail: ErrorDetail) -> errors.OperatorError:
    """Return a refusal as an error, including the remedy and the accepted change of a conflict."""
    problem = detail.message or "The request was refused."
    winner = detail.winner
    if winner is not None and winner.change_id not in problem:
        problem += (
            f" Change {winner.change_id} of operator {winner.operator} was accepted instead, "
            f"as revision {winner.revision}."
        )
    remedy = detail.remedy or "Correct the request and send it again."
    # Some messages already end with the remedy.
    problem = problem.removesuffix(remedy).rstrip()
    for finding in detail.findings:
        problem += f"\n{finding}"
    known = {code.value: code for code in errors.Code}
    code = known.get(detail.code, errors.Code.BAD_REQUEST)
    return errors.OperatorError(problem, remedy=remedy, code=code)
