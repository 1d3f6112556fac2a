"""The programs of a routed deployment as processes, with settings files of their own."""

import json
import signal
import subprocess
import sys

import pytest

from tests.processes import routed_fleet

START = "import sys; from medlarfork.{package} import {module}; {module}.run()"


@pytest.fixture
def start(tmp_path):
    """Start a program with a settings file, and end it afterwards."""
    started = []

    def start_one(package, module, name, settings):
        file = tmp_path / f"{name}.toml"
        file.write_text(settings)
        code = START.format(package=package, module=module)
        with (tmp_path / f"{name}.log").open("wb") as log:
            process = subprocess.Popen(
                [sys.executable, "-c", code, f"--settings={file}"], stdout=log, stderr=log
            )
        started.append(process)
        return process

    yield start_one
    for process in started:
        process.kill()
        process.wait()


def test_a_routed_deployment_runs_from_its_settings_files_and_stops_with_0(start, tmp_path):
    network = routed_fleet.new_network()
    replicas = [f"{network}.{number}" for number in (1, 2, 3)]
    processes = [
        start(
            "coordination",
            "coordinator_command",
            replica,
            f"""
            replica_id = "{replica}"
            serve = "{replica}:7001"
            directory = "{replica}:7002"
            link_port = 7003
            seeds = {json.dumps(replicas)}
            may_found = true
            data_folder = "{tmp_path / replica}"
            """,
        )
        for replica in replicas
    ]
    entry = f"{network}.50"
    processes.append(
        start(
            "gateway",
            "gateway_command",
            entry,
            f"""
            entry_id = "{entry}"
            zone = "z1"
            serve = "{entry}:7004"
            health = "{entry}:7005"
            link_host = "{entry}"
            link_port = 7003
            replica_link_port = 7003
            seeds = {json.dumps(replicas)}
            grace_s = 1.0
            [budget]
            ratio = 0.1
            burst = 20.0
            window_s = 10.0
            """,
        )
    )
    routing = {
        "version": 1,
        "routes": [
            {
                "name": "r",
                "host": "a.example",
                "path_prefix": "/p/",
                "kind": "safe",
                "timeout_ms": 1000,
                "targets": [{"service": "engines"}],
            }
        ],
        "services": [{"name": "engines"}],
    }
    routed_fleet.until(200, "PUT", f"http://{replicas[0]}:7001/v1/routing", routing)
    routed_fleet.until(200, "GET", f"http://{entry}:7005/ready")
    found = json.loads(
        routed_fleet.until(200, "GET", f"http://{replicas[1]}:7002/v1/entries?zone=z1")
    )
    assert found["addresses"] == [f"{entry}:7004"]
    assert routed_fleet.ask("GET", f"http://{entry}:7004/p/")[0] == 404
    assert b"medlar_routed_state" in routed_fleet.ask("GET", f"http://{entry}:7005/metrics")[1]
    for process in processes:
        process.send_signal(signal.SIGTERM)
    assert [process.wait(timeout=15) for process in processes] == [0, 0, 0, 0]
    assert "event=routing_in_force" in (tmp_path / f"{entry}.log").read_text()
