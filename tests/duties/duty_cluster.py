"""Simulated cluster of coordinators with duties: entry hosts and a platform in virtual time."""

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
REPORT_PERIOD_S = 0.4
CALL_LATENCY_S = 0.06
ZONES = ("z1", "z2", "z3")


class EntryHost:
    """Entry host that counts usage; its steady clock is the cluster's time."""

    def __init__(self, entry_id, boot):
        self.entry_id = entry_id
        self.counter = usage_counter.UsageCounter(boot=boot, window_s=DUTIES.usage_window_s)
        self.clock = fleet_clock.FleetClock()
        self.leader_id = ""
        self.term = 0

    def handle_message(self, sender, message, now):
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


class DutyCluster(coordinator_cluster.Cluster):
    """Cluster of coordinators with entry hosts and a platform."""

    def __init__(self, seed=0, entries=3):
        self.platform = platform_standin.Platform(seed, DUTIES.lease_s)
        self.entry_by_id = {f"e-{n}": EntryHost(f"e-{n}", n + 1) for n in range(entries)}
        self.calls = []
        self.answers = []
        self.wall_offset_by_id = {}
        self.started_requests = 0
        self.call_latency_s = CALL_LATENCY_S
        self._next_report_at = 0.0
        super().__init__(seed=seed, duties=DUTIES)

    def perform(self, host, action):
        if isinstance(action, duty_types.CallPlatform):
            # Delay between the decision and sending, during which a process may be suspended.
            self.calls.append((self.time + 0.02, host, host.node, action))
            return
        super().perform(host, action)

    def step(self):
        self._deliver_to_entries()
        super().step()
        self._make_calls()
        self.platform.run_until(self.time)
        if self.time >= self._next_report_at:
            self._next_report_at = self.time + REPORT_PERIOD_S
            self._send_reports()

    def start_request(self, account, entry_id="e-0"):
        """Let a request start to run."""
        self.started_requests += 1
        self.entry_by_id[entry_id].record_started(account, self.time)

    def holder(self):
        """Return the replica that may act now; None if there is none."""
        holders = [
            host.replica_id
            for host in self.host_by_id.values()
            if host.node is not None and host.node.duties.lease.may_act(self.time)
        ]
        return holders[0] if holders else None

    def run_until_held(self, seconds=20.0):
        """Run until a replica holds the duties, and return it."""
        end_at = self.time + seconds
        while self.holder() is None and self.time < end_at:
            self.step()
        assert self.holder() is not None, "no replica holds the duties"
        return self.holder()

    def put_services(self, version, spot_price=0.2):
        """Put a routing configuration with a service whose engines are scaled."""
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
        """Let engines announce themselves: (on-demand, spot) counts by data centre."""
        for zone, kinds in zip(ZONES, counts, strict=True):
            for is_spot, count in zip((False, True), kinds, strict=True):
                for number in range(count):
                    address = f"10.{ZONES.index(zone)}.{int(is_spot)}.{number + 1}:80"
                    announcement = upstream_types.Announcement(
                        f"{zone}-{is_spot}-{number}",
                        "engines",
                        address,
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
        """Send calls whose process still runs and may act, checked right before sending."""
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
            wait_s = 3.0 if end is duty_types.CallEnd.UNKNOWN else self.call_latency_s
            self.answers.append((self.time + wait_s, host, made_by, action.call_id, end))
        ready = [answer for answer in self.answers if answer[0] <= self.time]
        self.answers = [answer for answer in self.answers if answer[0] > self.time]
        for _, host, made_by, call_id, end in ready:
            if host.node is made_by:
                self.post(host.replica_id, duty_types.PlatformCalled(call_id, end))

    def _deliver_to_entries(self):
        for sender, to, message in self.packets:
            if to in self.entry_by_id and sender not in self.cut:
                self.entry_by_id[to].handle_message(sender, message, self.time)

    def _send_reports(self):
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
