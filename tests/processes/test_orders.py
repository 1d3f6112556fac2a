"""Orders to engines while the control leader is killed or suspended."""

import json
import re

import pytest

from tests.processes import callers, conftest

CONTROL_SETTINGS = """
order_lease_s = 2.0
order_limit_s = 8.0
order_answer_s = 7.0
drain_s = 1.0
weight_bytes_per_second = 4e6
"""
LOAD_BYTES = 3_000_000
"""Size of a load that takes three seconds at one lane's rate."""

CHECKS, PLAIN = "engine-checks", "engine-plain"
ENGINES = (CHECKS, PLAIN)
SENT = re.compile(r"order_sent.* order_id=(\S+).* upstream=(\S+)")


class Orders:
    """Declares desired states and reads orders and engine states."""

    def __init__(self, deployment, new_key):
        self.deployment = deployment
        self._new_key = new_key

    def listed(self):
        return self.deployment.operator.ask_leader("GET", "/v1/orders").json

    def body(self, base, **wanted):
        desired = {"name": "all", "selector": "service=words", **wanted}
        declare = {"change_id": self._new_key(), "base_revision": base, "desired": desired}
        return json.dumps(declare).encode()

    def send(self, body):
        return self.deployment.operator.ask_leader("POST", "/v1/orders", body)

    def declare(self, **wanted):
        answer = self.send(self.body(self.listed()["revision"], **wanted))
        assert answer.status == 200, answer

    def state(self, name):
        return self.deployment.engine_state(name)

    def wait_for(self, what, condition, limit_s=40.0):
        self.deployment.wait(lambda: all(condition(self.state(n)) for n in ENGINES), what, limit_s)

    def wait_settled(self):
        self.deployment.wait(lambda: not self.listed()["in_progress"], "all results to be recorded")

    def sent_by_engine(self):
        """Return the ids of sent orders by engine, from the logs of all control replicas."""
        sent = {name: [] for name in ENGINES}
        for control in self.deployment.control_names:
            log = (self.deployment.folder / f"{control}.log").read_text()
            for order_id, upstream_id in SENT.findall(log):
                sent[upstream_id].append(order_id)
        return sent


def weights(name, version):
    return [{"name": name, "version": version, "size_bytes": LOAD_BYTES}]


@pytest.fixture
def orders(processes, tmp_path, new_key):
    deployment = conftest.Deployment(
        tmp_path,
        processes,
        data_centres=("north",),
        entries=1,
        keys=False,
        control_settings=CONTROL_SETTINGS,
    )
    (tmp_path / "configuration.toml").write_text(conftest.CONFIGURATION)
    deployment.start_system()
    applied = deployment.apply(tmp_path / "configuration.toml")
    assert applied.status == 0, applied.errors
    deployment.start_engine(CHECKS, checks_fence="true")
    deployment.start_engine(PLAIN)
    yield Orders(deployment, new_key)
    processes.close()
    for log in sorted(tmp_path.glob("*.log")):
        assert "Traceback" not in log.read_text(), f"an exception was logged in {log}"


def holds(name, version):
    return lambda state: {"name": name, "version": version} in state["weights"]


@pytest.mark.parametrize("fault", ["kill", "freeze"])
def test_a_leader_lost_during_a_load_leaves_each_order_executed_once(orders, fault):
    deployment = orders.deployment
    orders.declare(weights=weights("words", "v1"))
    orders.wait_for("both engines to hold v1", holds("words", "v1"))
    orders.wait_settled()
    before = orders.listed()
    assert sorted(done["result"] for done in before["history"]) == ["done", "done"]

    orders.declare(weights=weights("words", "v2"))
    orders.wait_for("both engines to load v2", lambda state: state["executing"])
    old_leader = deployment.wait_for_leader()
    getattr(deployment.processes, fault)(old_leader)
    deployment.wait_for_leader()

    orders.wait_for("both engines to hold v2", holds("words", "v2"))
    deployment.wait(lambda: orders.listed()["fence"] > before["fence"], "a new holder")
    if fault == "freeze":
        deployment.processes.thaw(old_leader)
    orders.wait_settled()
    for name in ENGINES:
        executions = orders.state(name)["order_executions"]
        assert list(executions.values()) == [1, 1], (name, executions)
    sent = orders.sent_by_engine()
    assert all(len(set(ids)) == len(ids) == 2 for ids in sent.values()), sent

    orders.declare(weights=weights("other", "v1"), role="decode")
    orders.wait_for("another load", holds("other", "v1"))
    orders.wait_for("the role", lambda state: state["role"] == "decode")
    deployment.wait(lambda: not orders.listed()["out_of_service"], "both back in service")
    assert orders.state(CHECKS)["highest_fence"] == orders.listed()["fence"]
    late = {"order_id": "late-1", "fence": before["fence"], "action": "change_role", "role": "x"}
    answer = callers.ask(
        deployment.standin_address(CHECKS), "POST", "/v1/orders", json.dumps(late).encode()
    )
    assert (answer.status, answer.error["code"]) == (409, "stale_fence")
    assert orders.state(CHECKS)["role"] == "decode"
    assert "late-1" not in orders.state(CHECKS)["order_executions"]


def test_of_two_operators_one_wins_and_a_resent_declaration_gets_its_first_answer(orders):
    first, second = (orders.body(0, role=role) for role in ("decode", "prefill"))
    accepted, refused = orders.send(first), orders.send(second)
    assert (accepted.status, refused.status) == (200, 409)
    winner = refused.error["winner"]
    assert winner["change_id"] == accepted.json["change_id"]
    assert winner["operator"] == "demo"
    orders.deployment.processes.kill(orders.deployment.wait_for_leader())
    assert orders.send(first).json == accepted.json
    assert orders.send(second).error["winner"] == winner
    (declared,) = orders.listed()["desired"]
    assert (declared["desired"]["role"], declared["revision"]) == ("decode", 1)
    text = orders.deployment.ctl("orders", "list")
    assert (text.status, "decode" in text.output) == (0, True), text
    file = orders.deployment.folder / "orders.toml"
    file.write_text('name = "all"\nselector = "service=words"\nrole = "mixed"\n')
    issued = orders.deployment.ctl("orders", "issue", str(file))
    assert issued.output.strip() == "accepted as revision 2", issued
