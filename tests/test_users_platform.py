"""The users' platform: its names stay in one folder, and are translated there without decisions."""

import ast
import pathlib
import subprocess
import sys

import hypothesis
import msgspec
import pytest
from hypothesis import strategies as st

from medlarfork import errors
from medlarfork.coordination import coordinator_types, upstream_registry, upstream_types
from medlarfork.duties import duty_types
from medlarfork.routes import routing, routing_check

ROOT = pathlib.Path(__file__).parent.parent
FOLDER = ROOT / "platform"
THEIR_NAMES = (
    "x-attempt-id",
    "x-deadline-ms",
    "x-expect-instance",
    "x-tenant",
    "x-token-usage",
    "x-prompt-prefix",
    "x-not-executed",
    "x-response-seal",
    "x-server-load",
    "kv-from",
    "kv-fetch",
    "config/put",
    "config/get",
    "instances/",
    "medlarfork_settings",
    "internalports",
    "trafficsplit",
    "kvcapacitytokens",
    "coldremainingms",
    "x-duty-holder",
    "x-fence-token",
    "desiredcount",
    "windowindex",
    "fleetbench",
)
MOST_LINES = 900


@pytest.fixture
def users(monkeypatch):
    """Import the folder's modules as its launcher does."""
    monkeypatch.syspath_prepend(str(FOLDER))
    import users_names
    import users_operations
    import users_settings

    return users_names, users_operations, users_settings


@pytest.fixture
def speaks(users):
    return users[1].UsersFormat(http_port=8229)


def test_their_names_stand_in_the_folder_only():
    elsewhere = [
        (path.relative_to(ROOT), name)
        for folder in ("src", "examples", "measure")
        for path in (ROOT / folder).rglob("*.py")
        for name in THEIR_NAMES
        if name in path.read_text().lower()
    ]
    assert elsewhere == []


def test_the_folder_is_small_and_decides_nothing():
    sources = sorted(FOLDER.glob("*.py"))
    assert sum(len(path.read_text().splitlines()) for path in sources) < MOST_LINES
    for path in sources:
        loops = [
            item
            for item in ast.walk(ast.parse(path.read_text()))
            if isinstance(item, ast.While | ast.For)
        ]
        assert loops == [], path.name


def test_the_folder_does_not_hide_the_standard_module_of_its_name():
    assert not (FOLDER / "__init__.py").exists()
    script = "import platform; print(platform.python_version())"
    ran = subprocess.run([sys.executable, "-c", script], cwd=ROOT, capture_output=True, check=True)
    assert ran.stdout.strip()


def _configuration(**changes):
    route = {
        "Name": "r-1",
        "Host": "shop.example",
        "PathPrefix": "/draft/",
        "Kind": "streaming",
        "TimeoutMs": 9000,
        "TargetLatencyMs": 300,
        "TargetGapMs": 150,
        "Priority": 2,
        "Service": "llm",
        "MaxAttempts": 2,
        "Public": False,
        "SessionAffinity": True,
        "StreamResume": True,
    }
    whole = {
        "Version": 12,
        "Routes": [route],
        "Services": [
            {
                "Name": "llm",
                "HealthCheckPath": "/health",
                "MaxConnections": 300,
                "Engine": {
                    "Slots": 32,
                    "KvCapacityTokens": 5000,
                    "Stride": 4,
                    "Models": [],
                    "KvTokenBytes": 131072,
                    "LinkMbps": 260000.0,
                },
            }
        ],
        "Limits": {"MaxHeaderBytes": 16384},
        "Tenants": [{"Name": "north", "ApiKeys": ["k-1"], "Priority": 1}],
    }
    return msgspec.json.encode(whole | changes)


def test_a_configuration_is_decoded_once_into_the_product_s_types(speaks):
    whole = speaks.decode_routing(_configuration())
    (route,) = whole.routes
    assert whole.version == 12
    assert route.kind is routing.RouteKind.STREAMING
    assert (route.target_ms, route.gap_ms, route.tier) == (300, 150, 2)
    assert route.targets == (routing.Target("llm"),)
    assert route.has_prompt
    assert route.may_resume
    assert whole.services[0].engine == routing.EngineSpec(32, 5000, 4, 131_072, 260_000.0)
    assert whole.accounts == (routing.Account("north", ("k-1",), 1),)
    routing_check.require_valid(whole)


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b'{"Version": 1',
        b'{"Version": 1}',
        b'{"Version": "1", "Routes": [], "Services": []}',
        _configuration(Routes=[{"Name": "r"}]),
        b'{"Version": 1, "Routes": [], "Services": []} x',
        b"\xff",
    ],
)
def test_a_configuration_that_can_not_be_read_in_full_is_refused(speaks, body):
    with pytest.raises(errors.ConfigurationError):
        speaks.decode("POST", "/config/put", "", body)


def test_an_unknown_kind_of_route_is_refused(speaks):
    with pytest.raises(errors.ConfigurationError):
        speaks.decode_routing(_configuration().replace(b"streaming", b"whatever"))


def test_calls_become_operations(speaks):
    beat = msgspec.json.encode(
        {
            "Service": "llm",
            "Address": "10.0.0.9:80",
            "Zone": "hall",
            "Version": "v1",
            "Slots": 3,
            "State": "draining",
            "ColdRemainingMs": 5,
            "Sequence": 4,
        }
    )
    expected = upstream_types.Announcement(
        "i-1", "llm", "10.0.0.9:80", "hall", 3, 4, True, 5, version="v1"
    )
    announce = speaks.decode("POST", "/instances/i-1/heartbeat", "", beat)
    assert announce == coordinator_types.Announce(expected)
    leave = speaks.decode("POST", "/instances/i-1/deregister", "", b"")
    assert leave == coordinator_types.Withdraw("i-1")
    assert speaks.decode("GET", "/config/get", "", b"") == coordinator_types.GetRouting()
    find = speaks.decode("GET", "/resolve", "Name=a&Zone=hall", b"")
    assert find == coordinator_types.FindEntries("hall")
    assert speaks.decode("GET", "/v1/placement", "", b"") == coordinator_types.ListPlacement()
    assert speaks.decode("GET", "/v1/entry-hosts", "", b"") == coordinator_types.ListEntryHosts()
    with pytest.raises(errors.RequestRefusedError):
        speaks.decode("POST", "/instances/i-1/heartbeat", "", b"{}")
    with pytest.raises(errors.RequestRefusedError):
        speaks.decode("GET", "/", "", b"")


def test_replies_go_out_in_their_form(speaks):
    found = speaks.encode(coordinator_types.EntriesFound(("10.0.0.1:80",), 2.0), "/resolve")
    assert msgspec.json.decode(found.body) == {"Addresses": ["10.0.0.1:80"], "TtlS": 2.0}
    leader = speaks.encode(coordinator_types.AskLeader("10.0.0.4"), "/config/put")
    assert (leader.status, leader.headers["Location"]) == (307, "http://10.0.0.4:8229/config/put")
    assert speaks.encode(coordinator_types.Unavailable("why"), "/").status == 503
    assert speaks.encode(coordinator_types.RoutingFound(3, b"{}"), "/").body == b"{}"
    assert speaks.encode(coordinator_types.PlacementFound(()), "/").body == b'{"shards":[]}'


SETTINGS = """
NodeName = "core-1"
Ip = "10.0.0.4"
Zone = "hall"
InternalPorts = [7340, 7355]
Seeds = ["10.0.0.4:8229", "10.0.0.5:8229"]
Bootstrap = true
HeartbeatMs = 1200
DataDir = "/data/x"
Unknown = 1
[Listen]
Control = "10.0.0.4:8229"
Directory = "10.0.0.4:8224"
Front = "10.0.0.4:80"
[Bounds]
GraceS = 8
RetryBudgetBurst = 58
"""


def test_settings_become_the_product_s(users, tmp_path, monkeypatch):
    settings = users[2]
    path = tmp_path / "local.toml"
    path.write_text(SETTINGS)
    monkeypatch.setenv(settings.users_file.PATH_VARIABLE, str(path))
    given = settings.read()
    coordinator = settings.for_coordinator(given)
    assert coordinator.seeds == ("10.0.0.4", "10.0.0.5")
    assert (coordinator.link_port, coordinator.announce_period_s) == (7340, 1.2)
    assert coordinator.may_found
    gateway = settings.for_gateway(given)
    assert (gateway.link_port, gateway.replica_link_port) == (7341, 7340)
    assert (gateway.budget.burst, gateway.grace_s) == (58, 8)
    path.write_text("NodeName = 3")
    with pytest.raises(errors.SettingsError):
        settings.read()


def test_only_header_names_of_the_product_s_table_are_set(users):
    names = users[0].NAMES
    assert names.attempt_id == names.attempt_id.lower()
    assert "kv-from" in names.set_by_system


BEAT = {
    "Service": "llm",
    "Address": "10.0.0.9:80",
    "Zone": "hall",
    "Version": "v1",
    "Slots": 3,
    "State": "ready",
    "ColdRemainingMs": 0,
    "Sequence": 4,
}
SOUND_BEAT = BEAT | {"Address": "10.0.0.8:81"}
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=300),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3),
    max_leaves=5,
)


def test_an_engine_that_says_when_it_was_started_is_another_incarnation_under_its_name(speaks):
    beat = msgspec.json.encode({**BEAT, "born": 1700000000000})
    announced = speaks.decode("POST", "/instances/i-1/heartbeat", "", beat).announcement
    assert announced.upstream_id == upstream_types.incarnation_id("i-1", 1700000000000)
    assert (announced.own_name, announced.born_ms) == ("i-1", 1700000000000)
    leave = speaks.decode("POST", "/instances/i-1/deregister", "", b'{"born":1700000000000}')
    assert leave == coordinator_types.Withdraw(announced.upstream_id)


@pytest.mark.parametrize(
    "changes",
    [
        {"State": "starting"},
        {"State": 1},
        {"Address": ""},
        {"Address": "10.0.0.9"},
        {"Address": "host:80"},
        {"Address": "10.0.0.9:99999"},
        {"Slots": 0},
        {"Slots": -1},
        {"Slots": "3"},
        {"Slots": True},
        {"Service": ""},
        {"Sequence": -4},
        {"born": -1},
        {"born": "then"},
    ],
)
def test_a_heartbeat_that_names_no_engine_to_use_is_refused(speaks, changes):
    with pytest.raises(errors.RequestRefusedError):
        speaks.decode("POST", "/instances/i-1/heartbeat", "", msgspec.json.encode(BEAT | changes))


@hypothesis.settings(suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture])
@hypothesis.given(
    changes=st.dictionaries(st.sampled_from([*BEAT, "born"]), JSON_VALUES, max_size=3),
    dropped=st.sets(st.sampled_from(list(BEAT)), max_size=2),
    junk=st.binary(max_size=40),
    cut=st.integers(0, 200),
)
def test_whatever_a_heartbeat_holds_it_is_refused_or_names_an_engine_that_could_be_used(
    speaks, changes, dropped, junk, cut
):
    registry = upstream_registry.UpstreamRegistry(announce_period_s=1.2)
    sound = speaks.decode("POST", "/instances/i-0/heartbeat", "", msgspec.json.encode(SOUND_BEAT))
    registry.announce(sound.announcement, 0.0)
    whole = {key: value for key, value in (BEAT | changes).items() if key not in dropped}
    for body in (msgspec.json.encode(whole), msgspec.json.encode(whole)[:cut], junk):
        try:
            operation = speaks.decode("POST", "/instances/i-1/heartbeat", "", body)
        except errors.RequestRefusedError:
            continue
        assert upstream_types.invalid_reason(operation.announcement) == ""
        registry.announce(operation.announcement, 0.1)
    assert sound.announcement in registry.present


def test_duties_are_taken_from_the_settings_and_unknown_ones_left_out(users):
    fields = {
        "NodeName": "core-1",
        "Ip": "10.1.0.13",
        "Zone": "recife-hall",
        "InternalPorts": [7020, 7035],
        "Seeds": ["10.1.0.13:8425"],
        "Bounds": {"LeaseMs": 2000, "UsageWindowS": 4},
        "CloudApi": {
            "Address": "10.200.0.113:8424",
            "Duties": ["usage_report", "autoscale", "something_new"],
            "DutyPerS": 40.0,
        },
    }
    given = users[2].decode(fields)
    duties = users[2].for_coordinator(given).duties
    assert duties.duties == (duty_types.USAGE, duty_types.ENGINES)
    assert (duties.address, duties.lease_s) == ("10.200.0.113:8424", 2.0)
    assert (duties.calls_per_s, duties.usage_window_s) == (40.0, 4.0)
    assert users[2].for_gateway(given).usage_window_s == 4.0


def test_a_deployment_without_duties_counts_and_calls_nothing(users):
    fields = {"NodeName": "n", "Ip": "10.1.0.13", "Zone": "z", "InternalPorts": [1, 9], "Seeds": []}
    given = users[2].decode(fields)
    assert users[2].for_coordinator(given).duties.is_empty
    assert users[2].for_gateway(given).usage_window_s == 0.0


# Guards against: an entry host whose stated size doesn't reach the directory.
def test_the_size_of_a_machine_is_read_where_it_is_stated(users):
    fields = {"NodeName": "n", "Ip": "10.1.0.13", "Zone": "z", "InternalPorts": [1, 9], "Seeds": []}
    gateway = users[2].for_gateway(users[2].decode(fields))
    assert (gateway.cores, gateway.memory_mb) == (0.0, 0.0)
    assert (gateway.max_descriptors, gateway.link_mbps) == (0, 0.0)
    fields["Limits"] = {
        "CpuShare": 0.43,
        "Cores": 3,
        "MemoryMb": 440,
        "MaxFds": 1638,
        "LinkMbps": 12.5,
        "Other": "x",
    }
    gateway = users[2].for_gateway(users[2].decode(fields))
    assert (gateway.cores, gateway.memory_mb) == (pytest.approx(1.29), 440.0)
    assert (gateway.max_descriptors, gateway.link_mbps) == (1638, 12.5)


@pytest.mark.parametrize(
    ("call", "target", "body"),
    [
        (
            duty_types.ReportUsage(353445120, {"hule930": 412}),
            "/usage",
            {"WindowIndex": 353445120, "Counts": {"hule930": 412}},
        ),
        (
            duty_types.ScaleEngines("huvo11a", "recife-hall", 6, False),
            "/scale",
            {"Service": "huvo11a", "Zone": "recife-hall", "DesiredCount": 6},
        ),
        (
            duty_types.ScaleEngines("huvo11a", "recife-hall", 6, True),
            "/scale",
            {"Service": "huvo11a", "Zone": "recife-hall", "DesiredCount": 6, "Spot": True},
        ),
    ],
)
def test_calls_of_duties_go_out_in_their_form(users, call, target, body):
    import users_duties

    sent = users_duties.UsersDuties("core-1").encode(call, 12)
    assert (sent.method, sent.target) == ("POST", target)
    assert sent.headers["X-Duty-Holder"] == "core-1"
    assert sent.headers["X-Fence-Token"] == "12"
    assert msgspec.json.decode(sent.body) == body


def test_what_may_be_ordered_of_a_service_is_decoded(speaks):
    scaling = {
        "Min": 1,
        "Max": 20,
        "BootS": 4.0,
        "SpotPrice": 0.22,
        "ZonePrices": {"recife-hall": 1.0, "fortaleza": 0.8},
    }
    body = _configuration(Services=[{"Name": "huvo11a", "Scaling": scaling}], Routes=[])
    (service,) = speaks.decode_routing(body).services
    assert service.scaling == routing.Scaling(
        1,
        20,
        4.0,
        0.22,
        (routing.ZonePrice("recife-hall", 1.0), routing.ZonePrice("fortaleza", 0.8)),
    )
