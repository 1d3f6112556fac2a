"""Run coordinators with duties in virtual time: entry hosts that count, and a platform."""

import json

from medlarfork.coordination import coordination_messages, coordinator_types, upstream_types
from medlarfork.duties import duty_types, fleet_clock, usage_counter, usage_messages
from tests.duties import platform_standin
from tests.routed import coordinator_cluster

DUTIES = duty_types.DutySettings(
    address="10.9.9.9:1",
    duties=(duty_types.USAGE, duty_types.ENGINES),
    lease_s=3.0,
    calls_per_s=50.0,
    usage_window_s=5.0,
)
TELL_S = 0.4
CALL_S = 0.06
ZONES = ("z1", "z2", "z3")


class EntryHost:
    """Count as an entry host does; its steady clock is the world's time, its time of day jumps."""

    def __init__(self, entry_id, boot):
        self.entry_id = entry_id
        self.counter = usage_counter.UsageCounter(boot=boot, window_s=DUTIES.usage_window_s)
        self.clock = fleet_clock.FleetClock()
        self.leader_id = ""
        self.term = 0

    def take(self, sender, message, now):
        match message:
            case coordination_messages.ReplicaStatus():
                if message.wall_s:
                    self.clock.add_sample(sender, message.wall_s, now)
                if (message.term, bool(message.leader_id)) >= (self.term, True):
                    self.term, self.leader_id = message.term, message.leader_id
            case usage_messages.UsageReceipt():
                self.counter.confirm(sender, message)

    def record_started(self, account, now):
        self.counter.record_started(account, self.clock.fleet_time_s(now, now))

    def pending_report(self, now):
        return self.counter.pending_report(self.leader_id, self.clock.fleet_time_s(now, now))


class World(coordinator_cluster.Cluster):
    """Add entry hosts and the platform to a cluster of coordinators."""

    def __init__(self, seed=0, entries=3):
        self.platform = platform_standin.Platform(seed, DUTIES.lease_s)
        self.entry_by_id = {f"e-{n}": EntryHost(f"e-{n}", n + 1) for n in range(entries)}
        self.calls = []
        self.answers = []
        self.wall_offset_by_id = {}
        self.begun = 0
        self.call_s = CALL_S
        self._tell_due = 0.0
        super().__init__(seed=seed, duties=DUTIES)

    def perform(self, host, action):
        if isinstance(action, duty_types.CallPlatform):
            # The way from the decision to the wire, in which a process may stand still.
            self.calls.append((self.time + 0.02, host, host.node, action))
            return
        super().perform(host, action)

    def step(self):
        self._deliver_to_entries()
        super().step()
        self._make_calls()
        self.platform.run_until(self.time)
        if self.time >= self._tell_due:
            self._tell_due = self.time + TELL_S
            self._tell()

    def begin(self, account, entry_id="e-0"):
        """Have a request begin to run."""
        self.begun += 1
        self.entry_by_id[entry_id].record_started(account, self.time)

    def holder(self):
        """Return the replica that may act now."""
        holders = [
            host.replica_id
            for host in self.host_by_id.values()
            if host.node is not None and host.node.duties.lease.may_act(self.time)
        ]
        return holders[0] if holders else None

    def until_held(self, seconds=20.0):
        """Run until some replica has the duties."""
        end_at = self.time + seconds
        while self.holder() is None and self.time < end_at:
            self.step()
        assert self.holder() is not None, "nobody has the duties"
        return self.holder()

    def put_services(self, version, spot_price=0.2):
        """Declare a service whose engines are ordered."""
        scaling = {
            "least": 1,
            "most": 20,
            "boot_s": 4.0,
            "spot_price": spot_price,
            "zones": [{"zone": zone, "price": 1.0} for zone in ZONES],
        }
        engine = {"slots": 32, "memory_tokens": 500_000}
        service = {"name": "engines", "engine": engine, "scaling": scaling}
        body = json.dumps({"version": version, "services": [service]}).encode()
        self.sent_body_by_version.setdefault(version, []).append(body)
        return self.ask_leader("a", coordinator_types.PutRouting(version, body))

    def announce(self, counts):
        """Have engines announce themselves: (staying, cheap) in each data centre."""
        for zone, kinds in zip(ZONES, counts, strict=True):
            for is_spot, count in zip((False, True), kinds, strict=True):
                for number in range(count):
                    place = f"10.{ZONES.index(zone)}.{int(is_spot)}.{number + 1}:80"
                    announcement = upstream_types.Announcement(
                        f"{zone}-{is_spot}-{number}",
                        "engines",
                        place,
                        zone,
                        32,
                        sequence=int(self.time * 100),
                        is_spot=is_spot,
                    )
                    for replica_id in self.host_by_id:
                        self.operations += 1
                        event = coordinator_types.OperationReceived(
                            self.operations, coordinator_types.Announce(announcement)
                        )
                        self.post(replica_id, event)

    def _make_calls(self):
        """Send calls whose process still runs and may act, as the program asks right before."""
        due = [call for call in self.calls if call[0] <= self.time]
        self.calls = [call for call in self.calls if call[0] > self.time]
        for _, host, made_by, action in due:
            if host.node is not made_by:
                continue
            if host.suspended is not None:
                self.calls.append((self.time, host, made_by, action))
                continue
            lease = made_by.duties.lease
            end = duty_types.CallEnd.NOT_SENT
            if lease.fence == action.fence and lease.may_act(self.time):
                end = self.platform.call(host.replica_id, action, self.time)
            wait_s = 3.0 if end is duty_types.CallEnd.UNKNOWN else self.call_s
            self.answers.append((self.time + wait_s, host, made_by, action.call_id, end))
        ready = [answer for answer in self.answers if answer[0] <= self.time]
        self.answers = [answer for answer in self.answers if answer[0] > self.time]
        for _, host, made_by, call_id, end in ready:
            if host.node is made_by:
                self.post(host.replica_id, duty_types.PlatformCalled(call_id, end))

    def _deliver_to_entries(self):
        for sender, to, message in self.packets:
            if to in self.entry_by_id and sender not in self.cut:
                self.entry_by_id[to].take(sender, message, self.time)

    def _tell(self):
        for replica_id in tuple(self.host_by_id):
            wall_s = self.time + self.wall_offset_by_id.get(replica_id, 0.0)
            self.post(replica_id, coordinator_types.WallTime(wall_s, self.time))
        for entry in self.entry_by_id.values():
            status = coordination_messages.EntryStatus(f"{entry.entry_id}:1", "z", True, 1, 0, 0)
            for replica_id in tuple(self.host_by_id):
                self.packets.append((entry.entry_id, replica_id, status))
            if entry.leader_id:
                self.packets.append(
                    (entry.entry_id, entry.leader_id, entry.pending_report(self.time))
                )
