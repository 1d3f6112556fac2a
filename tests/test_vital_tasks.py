"""A program whose task fails ends with a reason; one that is stopped in order does not."""

import curio
import pytest

from medlarfork import vital_tasks
from medlarfork.control import control_program, control_settings
from medlarfork.coordination import coordinator_program, coordinator_settings, operations_format
from medlarfork.duties import platform_format
from medlarfork.entry import entry_program, entry_settings
from medlarfork.gateway import gateway_program, gateway_settings
from medlarfork.links import link
from tests import loopback
from tests.routed import routed_harness


async def _raise(error):
    raise error


# Guards against: a process that went on without a task which a timeout of no block had ended.
@pytest.mark.parametrize(
    "error",
    [ValueError("unexpected"), curio.TaskTimeout(1.0), curio.TimeoutCancellationError(1.0)],
    ids=["fault", "timeout", "enclosing timeout"],
)
def test_a_task_that_fails_ends_the_process_with_one_line_that_names_it(caplog, error):
    async def main():
        tasks = vital_tasks.VitalTasks()
        await tasks.spawn(_raise, error)
        await curio.sleep(30)

    with pytest.raises(SystemExit) as ended:
        curio.run(curio.timeout_after, 20, main)
    assert ended.value.code == vital_tasks.FAILURE_STATUS
    (record,) = caplog.records
    assert record.msg == {"event": "process_failed", "part": "_raise"}
    assert str(error) in caplog.text


def test_a_task_that_is_cancelled_ends_nothing():
    async def main():
        tasks = vital_tasks.VitalTasks()
        await tasks.spawn(curio.sleep, 30)
        await curio.sleep(0)
        await tasks.close()

    curio.run(main)


def _coordinator(folder, host):
    settings = coordinator_settings.CoordinatorSettings(
        replica_id=host,
        serve=f"{host}:{routed_harness.HTTP_PORT}",
        link_port=routed_harness.LINK_PORT,
        seeds=(host,),
        may_found=True,
        data_folder=str(folder),
    )
    program = coordinator_program.CoordinatorProgram(
        settings,
        api_format=operations_format.OwnFormat(http_port=routed_harness.HTTP_PORT),
        read_seeds=lambda: (host,),
        platform_api_format=platform_format.DefaultFormat(host),
    )
    return coordinator_program.run_until_stopped, program


def _gateway(folder, host):
    settings = gateway_settings.GatewaySettings(
        entry_id=host,
        zone="z1",
        serve=f"{host}:{routed_harness.ENTRY_PORT}",
        link_host=host,
        link_port=routed_harness.LINK_PORT,
        replica_link_port=routed_harness.LINK_PORT,
        seeds=(f"{host[:-1]}2",),
        grace_s=2.0,
    )
    program = gateway_program.GatewayProgram(
        settings,
        names=routed_harness.NAMES,
        decode=operations_format.OwnFormat(http_port=routed_harness.HTTP_PORT).decode_routing,
        read_seeds=lambda: (),
    )
    return gateway_program.run_until_stopped, program


def _control(folder, host):
    address = control_settings.ReplicaAddress("c1", f"tcp://{host}:7201", f"http://{host}:7202")
    settings = control_settings.ControlSettings(
        replica_id="c1", data_folder=folder, replicas=(address,), allow_anyone=True
    )
    return control_program._run_until_stopped, settings


def _entry(folder, host):
    settings = entry_settings.EntrySettings(
        "entry-1", (), http_host=host, http_port=7301, link_address=f"tcp://{host}:7302"
    )
    return entry_program._run_until_stopped, settings


# Guards against: a program went on without the task that receives messages.
@pytest.mark.parametrize("make", [_coordinator, _gateway, _control, _entry])
def test_each_program_ends_if_a_task_of_it_fails(make, tmp_path, monkeypatch, caplog):
    run, given = make(tmp_path, f"{loopback.prefix()}.240.1")

    async def receive(self):
        await curio.sleep(0.1)
        raise ValueError("unexpected")

    monkeypatch.setattr(link.Link, "receive", receive)
    with pytest.raises(SystemExit) as ended:
        curio.run(curio.timeout_after, 20, run, given)
    assert ended.value.code == vital_tasks.FAILURE_STATUS
    failed = [record for record in caplog.records if "process_failed" in str(record.msg)]
    assert len(failed) == 1
