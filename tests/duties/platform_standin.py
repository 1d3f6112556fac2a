"""Stand in for a deployment's platform: check the fence of each call, and what must never happen.

Calls may be answered, lost, or carried out long after their caller has given them up.
"""

import collections
import dataclasses
import random

from medlarfork.duties import duty_types

CallEnd = duty_types.CallEnd


@dataclasses.dataclass
class _Late:
    at: float
    holder: str
    action: duty_types.CallPlatform


class Platform:
    """Take calls; an assertion fails if two holders act as one may."""

    def __init__(self, seed=0, lease_s=3.0):
        self.random = random.Random(seed)
        self.lease_s = lease_s
        self.is_down = False
        self.lost_share = 0.0
        self.dry = set()
        self.counts_by_window = {}
        self.count_by_group = {}
        self.calls_by_second = collections.Counter()
        self.refused = 0
        self._fence_by_subject = collections.defaultdict(int)
        self._holder_by_fence = {}
        self._acts_by_subject = collections.defaultdict(list)
        self._late = []

    def call(self, holder, action, now):
        """Carry out a call now or later, and return how it ends for its caller."""
        self.calls_by_second[int(now)] += 1
        if self.is_down:
            return CallEnd.UNKNOWN
        if self.random.random() < self.lost_share:
            if self.random.random() < 0.7:
                late = _Late(now + self.random.uniform(2.0, 12.0), holder, action)
                self._late.append(late)
            return CallEnd.UNKNOWN
        return self._carry_out(holder, action, now)

    def run_until(self, now):
        """Carry out what was kept back until now."""
        due = [late for late in self._late if late.at <= now]
        self._late = [late for late in self._late if late.at > now]
        for late in sorted(due, key=lambda late: late.at):
            self._carry_out(late.holder, late.action, now)

    def _carry_out(self, holder, action, now):
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
                if (zone, is_spot) in self.dry:
                    return CallEnd.REFUSED
                self.count_by_group[service, zone, is_spot] = count
        return CallEnd.DONE

    def _check_turns(self, subject, holder, now):
        """Two holders must not take turns within the time of the lease."""
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
