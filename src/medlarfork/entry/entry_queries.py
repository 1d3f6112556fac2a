"""Read-only queries of callers and operators to an entry host."""

from __future__ import annotations

import random
from collections.abc import Mapping

from medlarfork import errors, member
from medlarfork.declared import configuration
from medlarfork.entry import (
    control_session,
    entries_answer,
    entry_flow,
    entry_options,
    entry_pools,
    entry_requests,
    entry_settings,
    entry_status,
    entry_types,
    explain,
    pool_directory,
)
from medlarfork.filters import admit, answers, identify, parse
from medlarfork.pool import pool_view

_MAX_ALTERNATIVES = 4
"""Maximum number of other entry hosts listed in a refusal."""


class EntryQueries:
    """Answers queries from the state of an entry node."""

    def __init__(
        self,
        options: entry_options.EntryNodeOptions,
        session: control_session.ControlSession,
        requests: entry_requests.EntryRequests,
        pools: entry_pools.EntryPools,
        directory: pool_directory.PoolDirectory,
        generator: random.Random,
    ) -> None:
        """Create the queries over the parts of a node."""
        self._options = options
        self._session = session
        self._requests = requests
        self._pools = pools
        self._directory = directory
        self._generator = generator

    def host_status(
        self, now: float, *, refusing: bool, is_cut_off: bool = False
    ) -> admit.HostStatus:
        """Return whether this host accepts requests, and which others do."""
        proven = self._session.is_proven(now)
        serve = self._options.unproven is entry_settings.UnprovenPolicy.SERVE
        usable = self._session.revision > 0 and (proven or serve)
        others: tuple[str, ...] = ()
        if refusing or not usable or is_cut_off or self._requests.admission.load >= 1.0:
            others = self._alternatives()
        # Without a connected host to go to, callers may as well wait here.
        is_cut_off = is_cut_off and self._has_connected_alternative()
        return admit.HostStatus(refusing, usable, proven, others, is_cut_off)

    def entries(
        self, raw: entry_types.RawRequest, now: float, *, listed: bool
    ) -> entry_types.Answer:
        """Answer ``GET /v1/entries``; ``listed`` states whether this host may be listed."""
        exclude = () if listed and self._session.is_proven(now) else (self._entry_id,)
        members = self._listable_members(exclude)
        # If there is no other host, one with an unproven configuration is better than none.
        members = members or self._listable_members(())
        data_centre = entries_answer.requested_data_centre(raw.query) or self._options.data_centre
        body = entries_answer.build(
            members,
            data_centre=data_centre,
            lifetime_s=self._options.entries_lifetime_s,
            generator=self._generator,
        )
        return answers.json(raw.request_id, body)

    def models(self, raw: entry_types.RawRequest) -> entry_types.Answer:
        """Answer ``GET /v1/models`` for the account whose key the request carries."""
        declared = self._session.configuration
        try:
            admit.check_host_status(admit.HostStatus(False, self._session.revision > 0, False, ()))
            identify.identify(declared, raw.headers)
        except errors.RequestRefusedError as error:
            return answers.refusal(
                raw.request_id, error, status=error.status, headers=error.headers
            )
        models = [
            {"id": model, "object": "model", "created": 0, "owned_by": service.name}
            for model, service in declared.service_by_model.items()
        ]
        return answers.json(raw.request_id, {"object": "list", "data": models})

    def explain(self, raw: entry_types.RawRequest, account: str, now: float) -> explain.Explanation:
        """Explain where a request of an account would go.

        Raises:
            errors.MedlarError: The account is not declared, or the request would be refused.
        """
        declared = self._session.configuration
        known_account = declared.account_by_name.get(account)
        if known_account is None:
            raise errors.OperatorError(
                f"There is no client account {account[:80]!r}.",
                remedy="Name one of the accounts of the configuration in force.",
                code=errors.Code.NOT_FOUND,
            )
        return explain.build(
            declared,
            self._session.revision,
            known_account,
            parse.parse(raw),
            self._requests.pool_ownership,
            self._directory,
            self._pools.upstream_views(),
            now,
        )

    def status(self, now: float, stage: str) -> entry_status.EntryStatus:
        """Describe this host to operators; takes time linear in requests and upstreams."""
        age_s = self._session.proof_age_s(now)
        views = self._pools.upstream_views()
        return entry_status.EntryStatus(
            entry_id=self._entry_id,
            incarnation=self._options.incarnation,
            stage=stage,
            revision=self._session.revision,
            view_version=self._session.view.version,
            proven=self._session.is_proven(now),
            proof_age_s=None if age_s == float("inf") else age_s,
            leader_id=self._session.leader_id,
            requests=len(self._requests),
            queued=self._requests.count(entry_flow.Waiting),
            claiming=self._requests.count(entry_flow.Claiming),
            held_bytes=self._requests.admission.held_bytes,
            unconfirmed=self._requests.unconfirmed,
            members=self._session.view.members,
            pools=self._pools.summaries(now),
            upstreams=tuple(_upstream_status(item, views, now) for item in self._directory.leases),
        )

    @property
    def _entry_id(self) -> str:
        return self._options.entry_id

    def _declared(self) -> configuration.Configuration:
        return self._session.configuration

    def _listable_members(self, exclude: tuple[str, ...]) -> tuple[member.Member, ...]:
        return entries_answer.listable_members(
            self._session.view, self._declared(), exclude=exclude
        )

    def _has_connected_alternative(self) -> bool:
        members = self._listable_members((self._entry_id,))
        return any(not item.is_cut_off for item in members)

    def _alternatives(self) -> tuple[str, ...]:
        members = self._listable_members((self._entry_id,))
        body = entries_answer.build(
            members,
            data_centre=self._options.data_centre,
            lifetime_s=self._options.entries_lifetime_s,
            generator=self._generator,
        )
        return tuple(entry.address for entry in body.entries[:_MAX_ALTERNATIVES])


def _upstream_status(
    lease: pool_directory.UpstreamLease,
    views: Mapping[tuple[str, str], pool_view.UpstreamView],
    now: float,
) -> entry_status.UpstreamStatus:
    announcement = lease.announcement
    view = views.get((lease.pool, announcement.upstream_id))
    return entry_status.UpstreamStatus(
        announcement.upstream_id,
        announcement.address,
        lease.pool,
        str(announcement.state),
        now - lease.announced_at,
        lease.conflicts,
        None if view is None else entry_status.use_of(view, now),
    )
