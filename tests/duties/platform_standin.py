"""Simulated platform that checks the fence of each call and the invariants of duties.

Calls may be answered, lost, or executed long after their caller's timeout.
"""

import collections
import dataclasses
import random

from medlarfork.duties import duty_types

CallEnd = duty_types.CallEnd


@dataclasses.dataclass
class _DelayedCall:
    at: float
    holder: str
    action: duty_types.CallPlatform


class Platform:
    """Executes calls; an assertion fails if two holders act at the same time."""

    def __init__(self, seed=0, lease_s=3.0):
        self.random = random.Random(seed)
        self.lease_s = lease_s
        self.is_down = False
        self.lost_share = 0.0
        self.exhausted = set()
        self.counts_by_window = {}
        self.count_by_group = {}
        self.calls_by_second = collections.Counter()
        self.refused = 0
        self._fence_by_subject = collections.defaultdict(int)
        self._holder_by_fence = {}
        self._acts_by_subject = collections.defaultdict(list)
        self._delayed = []

    def call(self, holder, action, now):
        """Execute a call now or later, and return its result for the caller."""
        self.calls_by_second[int(now)] += 1
        if self.is_down:
            return CallEnd.UNKNOWN
        if self.random.random() < self.lost_share:
            if self.random.random() < 0.7:
                delayed = _DelayedCall(now + self.random.uniform(2.0, 12.0), holder, action)
                self._delayed.append(delayed)
            return CallEnd.UNKNOWN
        return self._execute(holder, action, now)

    def run_until(self, now):
        """Execute the delayed calls that are due."""
        due = [delayed for delayed in self._delayed if delayed.at <= now]
        self._delayed = [delayed for delayed in self._delayed if delayed.at > now]
        for delayed in sorted(due, key=lambda delayed: delayed.at):
            self._execute(delayed.holder, delayed.action, now)

    def _execute(self, holder, action, now):
        subject = _subject(action.call)
        if action.fence < self._fence_by_subject[subject]:
            self.refused += 1
            return CallEnd.REFUSED
        self._fence_by_subject[subject] = action.fence
        known = self._holder_by_fence.setdefault((subject, action.fence), holder)
        assert known == holder, f"{known} and {holder} use fence {action.fence}"
        self._check_turns(subject, holder, now)
        match action.call:
            case duty_types.ReportUsage(window, counts):
                first = self.counts_by_window.setdefault(window, counts)
                assert first == counts, f"two different reports of window {window}"
            case duty_types.ScaleEngines(service, zone, count, is_spot):
                if (zone, is_spot) in self.exhausted:
                    return CallEnd.REFUSED
                self.count_by_group[service, zone, is_spot] = count
        return CallEnd.DONE

    def _check_turns(self, subject, holder, now):
        """Check that two holders do not alternate within the duration of the lease."""
        acts = self._acts_by_subject[subject]
        acts[:] = [act for act in acts if act[0] > now - self.lease_s]
        others = [at for at, other in acts if other != holder]
        own = [at for at, other in acts if other == holder]
        assert not (own and others and min(own) < max(others)), f"{holder} acts again too soon"
        acts.append((now, holder))


def _subject(call):
    match call:
        case duty_types.ReportUsage():
            return "usage"
        case duty_types.ScaleEngines(service, zone):
            return (service, zone)
