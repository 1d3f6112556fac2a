"""Replay chat streams beside long prompts on simulated engines of different speed, in memory."""

import dataclasses
import heapq
import random

from medlarfork.placement import placement_messages, reported_load

EVENT_TOKENS = 7
SLOTS = 16
SLOW_S = 0.6
SLOWDOWN = 2.5


@dataclasses.dataclass(slots=True)
class Stream:
    """A request on an engine: first its prompt, then a token a step."""

    request: placement_messages.PlaceRequest
    sent_at: float
    prompt_left: int
    tokens_left: int
    event_at: float = 0.0
    gaps_ms: list = dataclasses.field(default_factory=list)


class Engine:
    """Prefill one chunk a step, and produce one token of every stream."""

    def __init__(self, factor, draw, slow_share):
        self.factor, self.draw = factor, draw
        self.usual_s = SLOW_S * (1.0 - slow_share) / slow_share
        self.is_slow, self.changes_at = False, draw.expovariate(1.0 / self.usual_s)
        self.streams, self.cached, self.is_stepping = [], set(), False

    def pace(self, now):
        while self.changes_at <= now:
            self.is_slow = not self.is_slow
            usual_s = self.draw.expovariate(1.0 / self.usual_s)
            self.changes_at += SLOW_S if self.is_slow else usual_s
        return SLOWDOWN if self.is_slow else 1.0

    def step_s(self, now):
        reads = any(stream.prompt_left for stream in self.streams)
        step_ms = 3.8 + 0.09 * len(self.streams) + (1024 / 57.0 if reads else 0.0)
        return step_ms * self.factor * self.pace(now) / 1000.0

    def end_step(self, now):
        """Return the streams that got an event."""
        chunk, served = 1024, []
        for stream in self.streams:
            if stream.prompt_left:
                read = min(chunk, stream.prompt_left)
                chunk, stream.prompt_left = chunk - read, stream.prompt_left - read
                if not stream.prompt_left:
                    self.cached |= {part.part_id for part in stream.request.parts}
                continue
            stream.tokens_left -= 1
            if stream.tokens_left % EVENT_TOKENS == 0:
                served.append(stream)
        return served


class Replay:
    """Send requests to a shard owner and count the late ones; ``load_of`` reports an engine."""

    def __init__(self, service, engines, load_of, seed):
        self.service, self.engine_by_id, self.load_of = service, engines, load_of
        self.draw = random.Random(seed)
        self.events, self.number, self.now = [], 0, 0.0
        self.sent_by_ticket, self.chats, self.longs, self.refused = {}, [], [], []
        self.decisions = []

    def at(self, when, act, *values):
        self.number += 1
        heapq.heappush(self.events, (when, self.number, act, values))

    def arrive(self, kind, rate, until_s, make):
        """Send requests of one kind with random distances."""
        when, number = 0.0, 0
        while (when := when + self.draw.expovariate(rate)) < until_s:
            number += 1
            self.at(when, self.ask, make(f"{kind}{number}", self.draw))

    def run(self, until_s):
        self.at(0.02, self.tick)
        while self.events and self.events[0][0] < until_s:
            self.now, _, act, values = heapq.heappop(self.events)
            act(*values)
        return self

    def tick(self):
        self.take(self.service.serve_due(self.now))
        if int(self.now * 50) % 50 == 0:
            self.service.end_overdue(self.now)
        self.at(self.now + 0.02, self.tick)

    def ask(self, request):
        self.sent_by_ticket[request.ticket_id] = (request, self.now)
        self.take(self.service.place("e", request, self.now))

    def take(self, answers):
        self.decisions += answers
        for answer in answers:
            message = answer.message
            match message:
                case placement_messages.Placed():
                    engine = self.engine_by_id[message.upstream_id]
                    request, _ = self.sent_by_ticket[message.ticket_id]
                    tokens = sum(
                        part.tokens for part in request.parts if part.part_id not in engine.cached
                    )
                    output = request.output_tokens
                    engine.streams.append(Stream(request, self.now, max(tokens, 1), output))
                    self.start_step(engine)
                case placement_messages.PlaceRefused():
                    self.refused.append(message)

    def start_step(self, engine):
        if engine.streams and not engine.is_stepping:
            engine.is_stepping = True
            self.at(self.now + engine.step_s(self.now), self.end_step, engine)

    def end_step(self, engine):
        engine.is_stepping = False
        for stream in engine.end_step(self.now):
            ticket_id = stream.request.ticket_id
            asked_at = self.sent_by_ticket[ticket_id][1]
            if not stream.event_at:
                after_ms = (self.now - stream.sent_at) * 1000.0
                load = self.load_of(engine, self.now)
                first = placement_messages.FirstEvent(ticket_id, after_ms, load)
                self.service.on_first_event(first, self.now)
                kind = self.chats if stream.request.gap_ms == 200.0 else self.longs
                kind.append((stream, (self.now - asked_at) * 1000.0))
            else:
                stream.gaps_ms.append((self.now - stream.event_at) * 1000.0)
            stream.event_at = self.now
            if not stream.tokens_left:
                engine.streams.remove(stream)
                gaps = sorted(stream.gaps_ms)
                seen = placement_messages.InterEventGaps(gaps[len(gaps) // 2], gaps[-1])
                complete = placement_messages.RunEnd.COMPLETE
                ended = placement_messages.RunEnded(ticket_id, complete, 1.0, seen)
                self.take(self.service.on_ended(ended, self.now))
        self.start_step(engine)

    def late(self, kind, gap_ms):
        return sum(max(stream.gaps_ms, default=0.0) > gap_ms for stream, _ in kind)


def reports(fourth=True, fastest=0.0):
    """Return how an engine reports its load, with or without its slowdown.

    ``fastest`` is what a usual engine reports if the reports contain the speeds of the engines.
    """

    def load_of(engine, now):
        slowdown = engine.pace(now) if fourth else None
        if fastest:
            slowdown = fastest * engine.factor * engine.pace(now)
        return reported_load.ReportedLoad(len(engine.streams), 0, SLOTS, slowdown)

    return load_of


def no_report(engine, now):
    return None
