"""The final response to a caller: the only place that decides what its status may promise.

Statuses 408, 421, 429 and 503 promise that a request has not run and never will. An entry host
sends one of them only if no upstream may have run the request. Upstreams use the same statuses for
runs that failed: a response proves that nothing ran only if it says so, and then it ends its
attempt as rejected (see ``upstream_call``). Any other one with such a status is replaced here.
"""

from __future__ import annotations

from medlarfork import errors
from medlarfork.gateway import request_types, retry_policy
from medlarfork.http import _http_messages, http_client


class FinalResponse:
    """Writes the final response of one request, unless it is a stream that has started."""

    def __init__(
        self,
        admitted: request_types.AdmittedRequest,
        shared: request_types.SharedContext,
        trace: request_types.Trace,
    ) -> None:
        """Create the writer; nothing is sent yet."""
        self._admitted = admitted
        self._shared = shared
        self._trace = trace

    async def pass_on(self, response: http_client.Response, body: bytes) -> None:
        """Pass on the complete response of a run; one that promises that nothing ran is replaced.

        Raises:
            errors.CallerDisconnectedError: The caller is gone, or has stopped reading.
        """
        if response.status in retry_policy.NOT_RUN_STATUSES:
            self._trace.reasons.append(f"status {response.status} of a run is not passed on")
            self._trace.result = request_types.Result.FAILED
            await self._respond(502, self._uncertain(), {})
            return
        self._trace.result = request_types.Result.ANSWERED
        self._trace.status = response.status
        await self._admitted.exchange.respond(response.status, response.headers, body)

    async def fail(
        self,
        progress: retry_policy.Progress,
        *,
        in_time: bool,
        retry_after_ms: float,
        refusal_code: errors.Code,
    ) -> None:
        """Send the status of a request without an answer; one that has started can only be cut.

        Args:
            progress: The attempts of the request.
            in_time: Whether its deadline has not passed.
            retry_after_ms: When its caller may return if nothing ran, in milliseconds.
            refusal_code: The code of the error if nothing ran.

        Raises:
            errors.CallerDisconnectedError: The caller is gone, or has stopped reading.
        """
        if self._admitted.exchange.started:
            self._trace.result = request_types.Result.CUT
            return
        status = retry_policy.final_status(progress, in_time=in_time)
        if status != 503:
            await self._respond(status, self._uncertain(), {})
            return
        error = self._error("Retry after the time in Retry-After.", refusal_code)
        await self._respond(status, error, {"Retry-After": f"{retry_after_ms / 1000.0:.3f}"})

    def _uncertain(self) -> errors.MedlarError:
        return self._error("It may have run.", errors.Code.UNCERTAIN)

    def _error(self, remedy: str, code: errors.Code) -> errors.MedlarError:
        reasons = "; ".join(self._trace.reasons) or "its deadline passed"
        return errors.MedlarError(
            f"The request got no answer: {reasons}.", remedy=remedy, code=code
        )

    async def _respond(
        self, status: int, error: errors.MedlarError, more_headers: dict[str, str]
    ) -> None:
        self._trace.status = status
        headers = {"Content-Type": "application/json", **more_headers}
        if self._admitted.is_relayed:
            headers[self._shared.names.own_answer] = "1"
        body = _http_messages.error_body(error, status)
        await self._admitted.exchange.respond(status, headers, body)
