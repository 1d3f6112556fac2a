"""Replay of a burst at a plain service whose refused callers retry once, without a network."""

import dataclasses
import heapq
import itertools

from medlarfork.placement import placement_messages
from tests.routed import placement_helpers

CALL_S = 0.1
LEFT_S = 2.5
TICK_S = 0.02
SLOTS = 12


@dataclasses.dataclass(slots=True)
class Outcome:
    """What happened to the callers of a replay."""

    callers: int = 0
    served: int = 0
    on_time: int = 0
    refused_late: int = 0
    answers: list = dataclasses.field(default_factory=list)

    @property
    def never_served(self):
        return self.callers - self.served


class Replay:
    """Callers that retry once, and wait a third of their remaining time at most."""

    def __init__(
        self,
        owner,
        make_place_request,
        *,
        account="a",
        entry_id="e",
        call_s=CALL_S,
        left_s=LEFT_S,
        target_ms=0.0,
    ):
        self._call_s, self._left_s, self._target_ms = call_s, left_s, target_ms
        self.owner, self.outcome = owner, Outcome()
        self._make, self._account, self._entry_id = make_place_request, account, entry_id
        self._events, self._sequence = [], itertools.count()
        self._asked = {}

    def offer(self, load, start_s, end_s):
        """Let callers arrive evenly, at a multiple of the service's capacity."""
        per_s = load * SLOTS / CALL_S
        self.arrive(start_s + n / per_s for n in range(round((end_s - start_s) * per_s)))

    def arrive(self, times):
        """Let a caller arrive at each of some times."""
        for at in times:
            self._push(at, "ask", (f"c{self.outcome.callers}", 1, at + self._left_s))
            self.outcome.callers += 1

    def run(self, until_s):
        for tick in range(round(until_s / TICK_S)):
            self._push(tick * TICK_S, "tick", None)
        while self._events:
            now, _, event, value = heapq.heappop(self._events)
            match event:
                case "ask":
                    self._ask(now, *value)
                case "end":
                    ended = placement_messages.RunEnd.COMPLETE, self._call_s * 1000.0
                    message = placement_messages.RunEnded(value, *ended)
                    self._record(self.owner.on_ended(message, now), now)
                case "leave" if value in self._asked:
                    del self._asked[value]
                    self.owner.on_ended(
                        placement_helpers.ended(value, placement_messages.RunEnd.CANCELLED), now
                    )
                case "tick":
                    self._record(self.owner.serve_due(now), now)
        return self.outcome

    def _ask(self, now, caller, attempt, deadline):
        ticket_id = f"{caller}/{attempt}"
        self._asked[ticket_id] = (now, caller, attempt, deadline)
        self._push(deadline, "leave", ticket_id)
        request = self._make(
            ticket_id,
            left_ms=(deadline - now) * 1000.0,
            target_ms=self._target_ms,
            account=self._account,
            retry_key=caller,
        )
        self._record(self.owner.place(self._entry_id, request, now), now)

    def _record(self, answers, now):
        for answer in answers:
            message = answer.message
            self.outcome.answers.append((now, message))
            match message:
                case placement_messages.Placed():
                    _, _, _, deadline = self._asked.pop(message.ticket_id)
                    end_at = now + self._call_s
                    self.outcome.served += end_at <= deadline
                    on_time_until = deadline - self._left_s + self._target_ms / 1000.0
                    self.outcome.on_time += end_at <= on_time_until
                    self._push(end_at, "end", message.ticket_id)
                case placement_messages.PlaceRefused():
                    asked_at, caller, attempt, deadline = self._asked.pop(message.ticket_id)
                    self.outcome.refused_late += now - asked_at > 2.0
                    wait_s = min(message.retry_after_ms / 1000.0, (deadline - now) / 3.0)
                    if attempt == 1:
                        self._push(now + wait_s, "ask", (caller, 2, deadline))

    def _push(self, at, event, value):
        heapq.heappush(self._events, (at, next(self._sequence), event, value))
