"""Test harness: entry nodes and a fake control on a simulated network with a virtual clock."""

from __future__ import annotations

import dataclasses
import hashlib
import heapq
import itertools
import json
import random
from typing import Any

from medlarfork import claim, heartbeat, member, node, upstream
from medlarfork.declared import configuration
from medlarfork.entry import entry, entry_options, entry_types

KEY = "sk-test"


def declared(**changes: Any) -> configuration.Configuration:
    """Return a configuration with a model service, a plain service and three classes."""
    base = configuration.Configuration(
        accounts=(configuration.Account("shop", (hashlib.sha256(KEY.encode()).hexdigest(),)),),
        classes=(
            configuration.RequestClass(
                "chat", 1, "service=lm", first_token_target_s=1.0, deadline_s=30.0
            ),
            configuration.RequestClass(
                "review", 3, "service=lm, model=long", 1, deadline_s=60.0, preemptible=True
            ),
            configuration.RequestClass("desk", 1, "service=desk", deadline_s=20.0),
        ),
        services=(
            configuration.Service(
                "lm", configuration.ServiceKind.MODEL, "app=lm", ("small", "long"), slots=2
            ),
            configuration.Service("desk", configuration.ServiceKind.PLAIN, "app=desk", slots=2),
        ),
        calls=(configuration.Call("desk", "POST", "/holds*", repeatable=False),),
    )
    return dataclasses.replace(base, **changes)


def chat(request_id: str, *, model: str = "small", stream: bool = True, **more: Any) -> Any:
    """Return the event of a chat completion request."""
    body = json.dumps({"model": model, "messages": [], "stream": stream, **more}).encode()
    return arrival(request_id, "POST", "/v1/chat/completions", body)


def hold(request_id: str, key: str = "", body: bytes = b"{}") -> Any:
    """Return the event of a not-repeatable call."""
    headers = {"idempotency-key": key} if key else {}
    return arrival(request_id, "POST", "/services/desk/holds", body, headers)


def arrival(
    request_id: str, method: str, path: str, body: bytes = b"", headers: Any = None
) -> entry_types.RequestArrived:
    """Return the event of a request with a valid API key."""
    headers = {"authorization": f"Bearer {KEY}", **(headers or {})}
    raw = entry_types.RawRequest(request_id, method, path, "", headers, body)
    return entry_types.RequestArrived(raw)


def announcement(
    upstream_id: str,
    sequence: int,
    app: str = "lm",
    state: upstream.UpstreamState = upstream.UpstreamState.READY,
    incarnation: int = 1,
    version: str = "",
    **labels: str,
) -> upstream.Announcement:
    """Return an upstream's announcement."""
    return upstream.Announcement(
        upstream_id,
        incarnation,
        sequence,
        state,
        f"http://{upstream_id}",
        {"app": app, **labels},
        version=version,
    )


def member_of(entry_id: str, **changes: Any) -> member.Member:
    """Return a serving member."""
    serving = member.MemberState.SERVING
    base = member.Member(entry_id, 1, serving, f"tcp://{entry_id}", f"http://{entry_id}")
    return dataclasses.replace(base, **changes)


def make_node(entry_id: str = "e1", seed: int = 1, **options: Any) -> entry.EntryNode:
    """Return a node with three control replicas."""
    settings = entry_options.EntryNodeOptions(
        entry_id,
        options.pop("incarnation", 1),
        f"tcp://{entry_id}",
        f"http://{entry_id}",
        control_ids=("c1", "c2", "c3"),
        **options,
    )
    return entry.EntryNode(options=settings, random=random.Random(seed))


class FakeControl:
    """Fake of all of control: answers heartbeats and claims from memory."""

    def __init__(self, revised: heartbeat.RevisionedConfiguration) -> None:
        self.revised = revised
        self.heard_by_id: dict[str, tuple[float, member.Member]] = {}
        self.view = member.View()
        self.claim_by_key: dict[claim.ClaimKey, list[Any]] = {}
        self.abandoned: set[tuple[claim.ClaimKey, claim.Holder]] = set()
        self.up = True

    def handle(self, sender: str, message: Any, now: float) -> tuple[Any, ...]:
        """Return the replies to a message."""
        if not self.up:
            return ()
        match message:
            case heartbeat.Heartbeat():
                return (self._on_heartbeat(message, now),)
            case claim.ClaimRequest():
                return (claim.ClaimReply(message.key, message.holder, *self._decide(message)),)
            case claim.ClaimFinish(key, holder, answer):
                claim_entry = self.claim_by_key.get(key)
                if claim_entry and claim_entry[0] == holder and not claim_entry[2]:
                    claim_entry[1:] = [answer, True, claim_entry[3]]
                return (claim.ClaimRecorded(key, holder),)
            case claim.ClaimAbandon(key, holder):
                claim_entry = self.claim_by_key.get(key)
                if claim_entry and claim_entry[0] == holder and not claim_entry[2]:
                    del self.claim_by_key[key]
                self.abandoned.add((key, holder))
                return (claim.ClaimRecorded(key, holder),)
        return ()

    def refresh(self, now: float) -> None:
        """Remove members whose lease has expired, and update the view."""
        live = {
            item: pair
            for item, pair in self.heard_by_id.items()
            if now - pair[0] < heartbeat.MEMBER_LEASE_S
        }
        self.heard_by_id = live
        members = tuple(dataclasses.replace(pair[1], load=0.0) for _, pair in sorted(live.items()))
        if members != self.view.members:
            version = (1, self.view.version[1] + 1)
            self.view = member.View(version, members)

    def _on_heartbeat(self, beat: heartbeat.Heartbeat, now: float) -> heartbeat.HeartbeatReply:
        if beat.leaving:
            self.heard_by_id.pop(beat.member.entry_id, None)
        else:
            self.heard_by_id[beat.member.entry_id] = (now, beat.member)
        self.refresh(now)
        revision = self.revised.revision
        whole = self.revised if beat.revision != revision else None
        view = self.view if beat.view_version < self.view.version else None
        return heartbeat.HeartbeatReply(beat.number, 1, revision, whole=whole, view=view)

    def _decide(self, claim_request: claim.ClaimRequest) -> tuple[Any, ...]:
        claim_entry = self.claim_by_key.get(claim_request.key)
        if claim_entry is None:
            if (claim_request.key, claim_request.holder) in self.abandoned:
                return (claim.Verdict.HOLDER_LOST,)
            self.claim_by_key[claim_request.key] = [
                claim_request.holder,
                None,
                False,
                claim_request.body_sha256,
            ]
            return (claim.Verdict.GRANTED,)
        holder, answer, finished, digest = claim_entry
        if digest != claim_request.body_sha256:
            return (claim.Verdict.KEY_REUSED,)
        if not finished:
            lost = holder.entry_id not in self.heard_by_id
            running = claim.Verdict.HOLDER_LOST if lost else claim.Verdict.RUNNING
            return (claim.Verdict.GRANTED if holder == claim_request.holder else running,)
        return (claim.Verdict.DONE, answer) if answer else (claim.Verdict.HOLDER_LOST,)


class EntrySimulation:
    """Runs nodes and control on a virtual clock, over a network with loss, duplicates and delay."""

    def __init__(self, entry_ids: tuple[str, ...] = ("e1",), **options: Any) -> None:
        self.now = 100.0
        self.control = FakeControl(heartbeat.RevisionedConfiguration(1, declared()))
        self.node_by_id = {item: make_node(item, **options) for item in entry_ids}
        self.out: list[tuple[str, Any]] = []
        self.seen: list[tuple[float, str, Any, tuple[Any, ...]]] = []
        self.cut: set[str] = set()
        self.records_events = False
        self.loss = 0.0
        self.copies = 0.0
        self.delay_s = 0.001
        self.jitter = (0.5, 1.5)
        self.generator = random.Random(7)
        self._order = itertools.count()
        self._due: list[tuple[float, int, str, Any]] = []
        self._sequence = itertools.count(1)
        for item in entry_ids:
            self.post(item, node.Started())
        self.run(2.5)

    def post(self, entry_id: str, event: Any) -> list[Any]:
        """Pass an event to a node and return its external actions."""
        actions = self.node_by_id[entry_id].handle(event, self.now)
        if self.records_events:
            self.seen.append((self.now, entry_id, event, actions))
        seen = []
        for action in actions:
            match action:
                case node.Wake(at):
                    self._push(at, entry_id, node.TimeDue())
                case node.Send(to, message):
                    self._send(entry_id, to, message)
                case _:
                    self.out.append((entry_id, action))
                    seen.append(action)
        return seen

    def run(self, seconds: float) -> None:
        """Advance the virtual clock."""
        end = self.now + seconds
        while self._due and self._due[0][0] <= end:
            at, _, to, event = heapq.heappop(self._due)
            self.now = max(self.now, at)
            self._deliver(to, event)
        self.now = end

    def announce(self, entry_id: str, upstream_id: str, **more: Any) -> None:
        """Deliver an upstream's announcement to an entry host."""
        sequence = more.pop("sequence", None) or next(self._sequence)
        announced = announcement(upstream_id, sequence, **more)
        self.post(entry_id, entry_types.AnnouncementReceived(f"call{sequence}", announced))

    def pop_actions(self, kind: type) -> list[Any]:
        """Remove and return the external actions of a type so far."""
        found = [action for _, action in self.out if isinstance(action, kind)]
        self.out = [pair for pair in self.out if not isinstance(pair[1], kind)]
        return found

    def _send(self, sender: str, to: str, message: Any) -> None:
        if sender in self.cut or to in self.cut or self.generator.random() < self.loss:
            return
        for _ in range(2 if self.generator.random() < self.copies else 1):
            at = self.now + self.generator.uniform(*self.jitter) * self.delay_s
            self._push(at, to, node.MessageReceived(sender, message))

    def _push(self, at: float, to: str, event: Any) -> None:
        heapq.heappush(self._due, (max(at, self.now), next(self._order), to, event))

    def _deliver(self, to: str, event: Any) -> None:
        if to in self.node_by_id:
            self.post(to, event)
        elif to.startswith("c") and to not in self.cut and isinstance(event, node.MessageReceived):
            for reply in self.control.handle(event.sender, event.message, self.now):
                self._send(to, event.sender, reply)
