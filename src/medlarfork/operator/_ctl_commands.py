"""Subcommands of ``medlarctl``."""

from __future__ import annotations

import dataclasses
import difflib
import hashlib
import pathlib
import time

import curio
import msgspec

from medlarfork import errors, uuid7
from medlarfork.declared import configuration as configurations
from medlarfork.declared import configuration_file
from medlarfork.links import keys
from medlarfork.operator import _ctl_render, _ctl_types, operations, operator_client
from medlarfork.orders import order_types
from medlarfork.settings import settings

_POLL_S = 0.2
"""Polling interval for whether a revision is in force, in seconds."""

_MAX_CONFLICT_TRIES = 8
"""Maximum attempts of a drain that conflicts with other changes."""

_DRAIN_FIELD = {"upstream": "drained_upstreams", "entry": "drained_entries"}


@dataclasses.dataclass(frozen=True, slots=True)
class Commands:
    """Implementation of each subcommand; method names are those in ``_ctl_flags``."""

    request: _ctl_types.Request
    client: operator_client.OperatorClient
    environment: _ctl_types.Environment

    async def check(self, file: str) -> _ctl_types.Result:
        """Validate a configuration file."""
        configuration_file.read(pathlib.Path(file))
        return _ctl_types.Result({"file": file, "mistakes": 0}, f"{file}: no mistakes")

    async def apply(self, file: str) -> _ctl_types.Result:
        """Put a configuration file in force."""
        read = configuration_file.load(pathlib.Path(file))
        wanted = read.configuration
        current = await self.client.configuration()
        self._warn_of_ended_drains(current.configuration, wanted)
        change_id = self.request.change_id or self._new_id()
        candidates = (self.request.base_revision, read.revision, current.revision)
        base = next(revision for revision in candidates if revision is not None)
        self.environment.print_stderr(f"change_id={change_id} base_revision={base}")
        accepted = await self.client.apply(change_id, base, wanted)
        return await self._accepted(accepted)

    async def diff(self, file: str) -> _ctl_types.Result:
        """Show what applying a file would change."""
        read = configuration_file.load(pathlib.Path(file))
        wanted = read.configuration
        current = await self.client.configuration()
        if read.revision not in (None, current.revision):
            self.environment.print_stderr(
                f"{file} was made from revision {read.revision}; the current one is "
                f"{current.revision}, so apply will refuse it"
            )
        lines = difflib.unified_diff(
            configuration_file.render(current.configuration).splitlines(),
            configuration_file.render(wanted).splitlines(),
            f"revision {current.revision}",
            file,
            lineterm="",
        )
        text = "\n".join(lines)
        reply = {"revision": current.revision, "differs": bool(text), "diff": text}
        return _ctl_types.Result(reply, text or f"{file} equals revision {current.revision}")

    async def fetch(self) -> _ctl_types.Result:
        """Print the current configuration as a file that states its revision."""
        current = await self.client.configuration()
        text = configuration_file.render(current.configuration, current.revision)
        return _ctl_types.Result(current, text.rstrip("\n"))

    async def history(self) -> _ctl_types.Result:
        """List the accepted changes."""
        reply = await self.client.history()
        return _ctl_types.Result(reply, _ctl_render.history(reply))

    async def status(self) -> _ctl_types.Result:
        """Show the status of each control host."""
        reply_by_address: dict[str, operations.StatusReply] = {}
        problem_by_address: dict[str, str] = {}
        for address in self.request.settings.control:
            try:
                reply_by_address[address] = await self.client.status(address)
            except errors.UpstreamError as error:
                problem_by_address[address] = error.problem
        has_leader = any(reply.has_lease for reply in reply_by_address.values())
        return _ctl_types.Result(
            {"hosts": reply_by_address, "unreachable": problem_by_address},
            _ctl_render.statuses(reply_by_address, problem_by_address),
            _ctl_types.ExitStatus.OK if has_leader else _ctl_types.ExitStatus.UNREACHABLE,
        )

    async def members(self) -> _ctl_types.Result:
        """List the entry hosts."""
        reply = await self.client.members()
        return _ctl_types.Result(reply, _ctl_render.members(reply.members, reply.revision))

    async def explain(self) -> _ctl_types.Result:
        """Show where an entry host would route a request, and why."""
        options = self.request
        if not options.account or bool(options.model) == bool(options.path):
            raise _ctl_types.UsageError(
                "explain needs an account and either a model or a path.",
                remedy="Give --account=NAME and one of --model=NAME and --path=/services/....",
            )
        query = {"account": options.account, "stream": "true" if options.stream else "false"}
        for key in ("model", "path", "method", "labels"):
            if getattr(options, key):
                query[key] = getattr(options, key)
        reply = await self._explain(query)
        return _ctl_types.Result(reply, _ctl_render.tree(reply))

    async def drain(self, kind: str, member_id: str) -> _ctl_types.Result:
        """Stop sending new work to an upstream, or stop listing an entry host to callers."""
        await self._warn_if_unknown(kind, member_id)
        return await self._change_drained(kind, member_id, drained=True)

    async def undrain(self, kind: str, member_id: str) -> _ctl_types.Result:
        """End a drain."""
        return await self._change_drained(kind, member_id, drained=False)

    async def new_id(self) -> _ctl_types.Result:
        """Print an id for a change, so that a script can retry it from the first attempt on."""
        change_id = self._new_id()
        return _ctl_types.Result({"change_id": change_id}, change_id)

    async def hash_key(self) -> _ctl_types.Result:
        """Print the SHA-256 digest of the API key on standard input."""
        key = self.environment.read_input().strip()
        if not key:
            raise _ctl_types.UsageError(
                "There is no key on standard input.",
                remedy="Type the key, or send it through a pipe.",
            )
        digest = hashlib.sha256(key.encode()).hexdigest()
        return _ctl_types.Result({"key_sha256": digest}, digest)

    async def keygen(self, folder: str, name: str) -> _ctl_types.Result:
        """Generate the key pair with which a process authenticates its links."""
        secret, public = keys.generate(folder, name)
        reply = {"secret": str(secret), "public": str(public)}
        text = f"secret key: {secret}\npublic key: {public}"
        return _ctl_types.Result(reply, text)

    async def orders_list(self) -> _ctl_types.Result:
        """List the orders to engines."""
        reply = await self.client.orders()
        return _ctl_types.Result(reply, _ctl_render.tree(msgspec.to_builtins(reply)))

    async def orders_issue(self, file: str) -> _ctl_types.Result:
        """Declare the desired state of some engines; control issues the orders for it."""
        desired = settings.load(pathlib.Path(file), order_types.DesiredState)
        base = self.request.base_revision
        base = (await self.client.orders()).revision if base is None else base
        change_id = self.request.change_id or self._new_id()
        self.environment.print_stderr(f"change_id={change_id} base_revision={base}")
        declare = order_types.Declare(desired, change_id, base, self.request.settings.operator)
        accepted = await self.client.declare_order(declare)
        return _ctl_types.Result(accepted, f"accepted as revision {accepted.revision}")

    async def voters_add(self, replica_id: str) -> _ctl_types.Result:
        """Add a control replica."""
        reply = await self.client.change_voters(add=replica_id)
        return _ctl_types.Result(reply, f"added {replica_id}")

    async def voters_remove(self, replica_id: str) -> _ctl_types.Result:
        """Remove a control replica."""
        reply = await self.client.change_voters(remove=replica_id)
        return _ctl_types.Result(reply, f"removed {replica_id}")

    async def _explain(self, query: dict[str, str]) -> object:
        problem = "no entry host is named."
        for address in self.request.settings.entry:
            try:
                return await self.client.explain(address, query)
            except errors.UpstreamError as error:
                problem = f"{address}: {error.problem}"
        raise errors.ControlUnreachableError(
            f"No entry host answered: {problem}",
            remedy="Name entry hosts that run with --entry=http://IP:PORT.",
        )

    async def _change_drained(
        self, kind: str, member_id: str, *, drained: bool
    ) -> _ctl_types.Result:
        if kind not in _DRAIN_FIELD:
            raise _ctl_types.UsageError(
                f"{kind!r} can't be drained.", remedy="Write upstream ID or entry ID."
            )
        for _ in range(_MAX_CONFLICT_TRIES - 1):
            try:
                return await self._try_change_drained(kind, member_id, drained)
            except errors.OperatorError as error:
                if error.code is not errors.Code.CHANGE_CONFLICT:
                    raise
                self.environment.print_stderr(f"retrying: {error.problem}")
        return await self._try_change_drained(kind, member_id, drained)

    async def _try_change_drained(
        self, kind: str, member_id: str, drained: bool
    ) -> _ctl_types.Result:
        current = await self.client.configuration()
        field = _DRAIN_FIELD[kind]
        ids = getattr(current.configuration, field)
        if (member_id in ids) is drained:
            word = "drained already" if drained else "not drained"
            text = f"{kind} {member_id} is {word}; revision {current.revision} stays"
            return _ctl_types.Result({"revision": current.revision, "changed": False}, text)
        kept = tuple(item for item in ids if item != member_id)
        changed = dataclasses.replace(
            current.configuration, **{field: (*kept, member_id) if drained else kept}
        )
        accepted = await self.client.apply(self._new_id(), current.revision, changed)
        return await self._accepted(accepted)

    async def _accepted(self, accepted: operations.ChangeAccepted) -> _ctl_types.Result:
        """Report an accepted change; with ``--wait``, once it is in force."""
        text = f"accepted as revision {accepted.revision}"
        reply = {"change_id": accepted.change_id, "revision": accepted.revision}
        if not self.request.wait:
            return _ctl_types.Result(reply, text)
        state = await self._wait_until_in_force(accepted.revision)
        in_time = _is_in_force(state)
        status = _ctl_types.ExitStatus.OK if in_time else _ctl_types.ExitStatus.NOT_IN_FORCE
        text += f"\n{_ctl_render.in_force(state)}"
        return _ctl_types.Result({**reply, "in_force": in_time, "at": state}, text, status)

    async def _wait_until_in_force(self, revision: int) -> operations.InForceReply:
        """Return once the revision is in force or can't come into force, or after the timeout."""
        give_up_at = time.monotonic() + self.request.settings.wait_s
        while True:
            state = await self.client.in_force(revision)
            # A host that is ahead confirms no revision until it is restarted.
            stuck = bool(state.ahead) and set(state.waiting) <= set(state.ahead)
            if _is_in_force(state) or stuck or time.monotonic() >= give_up_at:
                return state
            await curio.sleep(_POLL_S)

    def _warn_of_ended_drains(
        self, current: configurations.Configuration, wanted: configurations.Configuration
    ) -> None:
        """Warn of drains in force that the file doesn't list and therefore ends."""
        for kind, field in _DRAIN_FIELD.items():
            ended = set(getattr(current, field)) - set(getattr(wanted, field))
            for member_id in sorted(ended):
                self.environment.print_stderr(
                    f"this ends the drain of {kind} {member_id}; "
                    f"list it under deployment.{field} to keep it"
                )

    async def _warn_if_unknown(self, kind: str, member_id: str) -> None:
        """Warn if control doesn't know the id; its host or upstream may still start later."""
        try:
            match kind:
                case "upstream":
                    known = await self.client.knows_upstream(member_id)
                case "entry":
                    members = (await self.client.members()).members
                    known = any(item.member.entry_id == member_id for item in members)
                case _:
                    return
        except errors.OperatorError as error:
            self.environment.print_stderr(f"the id could not be checked: {error.problem}")
            return
        if not known:
            self.environment.print_stderr(
                f"control knows no {kind} {member_id} at the moment; if the id is wrong, "
                f"undo this with: undrain {kind} {member_id}"
            )

    def _new_id(self) -> str:
        random_bytes = self.environment.random_bytes(uuid7.RANDOM_BYTES)
        return uuid7.make(self.environment.time_ms(), random_bytes)


def _is_in_force(state: operations.InForceReply) -> bool:
    """Return whether some entry host has the revision and no live one lacks it."""
    return bool(state.confirmed) and not state.waiting
