"""Show the main job end to end: two deployments on loopback, under load, with a change midway.

Each deployment has 3 control replicas, 3 entry hosts, 3 engines and a plain service. Run it with
``make demo``.
"""

from __future__ import annotations

import dataclasses
import pathlib
import subprocess
import tempfile
import time

from examples import local_deployment, local_processes

_EXAMPLES = pathlib.Path(__file__).parent
_LOAD_S = 8.0
_CHANGE_AFTER_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """Say what is particular to one example deployment.

    Attributes:
        route: Selector of a route in its configuration, which sends some traffic to pool b.
        wider_route: The selector that replaces it in the middle of the run.
    """

    name: str
    data_centres: tuple[str, ...]
    model: str
    service: str
    classes: str
    route: str
    wider_route: str


BAZAR = Deployment(
    "bazar",
    ("recife-hall", "fortaleza", "salvador"),
    "avaliador",
    "balcao-app",
    """
[[class]]
name = "counter"
kind = "call"
account_key = "bazar-loja-01-key"
service = "balcao-app"
rate_per_s = 20.0
whole_target_s = 0.3

[[class]]
name = "price-label"
kind = "call"
account_key = "bazar-loja-05-key"
service = "balcao-app"
method = "POST"
path = "/labels"
idempotency_keys = true
repeatable = false
rate_per_s = 5.0
whole_target_s = 0.5

[[class]]
name = "pricing"
kind = "chat"
account_key = "bazar-loja-02-key"
model = "avaliador"
labels = "task=pricing"
rate_per_s = 8.0
first_token_target_s = 1.0
whole_target_s = 4.0

[[class]]
name = "appraisal"
kind = "chat"
account_key = "bazar-loja-04-key"
model = "avaliador"
labels = "task=appraisal"
stream = false
tokens_min = 100
tokens_max = 200
rate_per_s = 1.0
whole_target_s = 30.0
""",
    "model=avaliador, size=office",
    "model=avaliador, size in (office, large)",
)

STRATHTUNE = Deployment(
    "strathtune",
    ("glasgow-hall", "edinburgh-hall", "stirling-hall"),
    "lm-pool",
    "hire-desk",
    """
[[class]]
name = "counter"
kind = "call"
account_key = "strathtune-glasgow-key"
service = "hire-desk"
rate_per_s = 20.0
whole_target_s = 0.3

[[class]]
name = "hold"
kind = "call"
account_key = "strathtune-glasgow-key"
service = "hire-desk"
method = "POST"
path = "/holds"
idempotency_keys = true
repeatable = false
rate_per_s = 5.0
whole_target_s = 1.0

[[class]]
name = "chat"
kind = "chat"
account_key = "strathtune-edinburgh-key"
model = "lm-pool"
labels = "task=chat"
rate_per_s = 8.0
first_token_target_s = 0.5
whole_target_s = 4.0

[[class]]
name = "review"
kind = "chat"
account_key = "strathtune-glasgow-key"
model = "lm-pool"
labels = "task=review"
stream = false
tokens_min = 100
tokens_max = 200
rate_per_s = 1.0
whole_target_s = 30.0
""",
    "model=lm-pool, desk=contracts",
    "model=lm-pool, task=chat",
)


def main() -> int:
    """Run both deployments and return the exit status."""
    statuses = [_run(deployment) for deployment in (BAZAR, STRATHTUNE)]
    return max(statuses)


def _run(deployment: Deployment) -> int:
    print(f"\n== {deployment.name} ==", flush=True)
    with (
        tempfile.TemporaryDirectory(prefix=f"medlarfork-{deployment.name}-") as folder,
        local_processes.local_processes() as processes,
    ):
        local = local_deployment.LocalDeployment(
            pathlib.Path(folder), processes, data_centres=deployment.data_centres
        )
        try:
            return _exercise(deployment, local)
        except (TimeoutError, subprocess.TimeoutExpired) as error:
            print(f"failed: {error}")
            _print_logs(pathlib.Path(folder))
            return 1


def _exercise(deployment: Deployment, local: local_deployment.LocalDeployment) -> int:
    _step("3 control replicas and 3 entry hosts start")
    local.start_system()
    _step("medlarctl apply puts the configuration in force")
    declared = _EXAMPLES / f"{deployment.name}.toml"
    applied = local.apply(declared)
    print(_indent(applied.output + applied.errors))
    if applied.status != 0:
        return 1
    _step("engines and the service announce themselves")
    standins = _standins(deployment)
    for standin in standins:
        local.start_standin(standin)
    local.wait_for_upstreams([standin.name for standin in standins])
    _step(f"medlar-load sends mixed classes for {_LOAD_S:g} s; a route changes midway")
    status = _load(deployment, local)
    _step("everything shuts down gracefully")
    stopped = _stop(local, [standin.name for standin in standins])
    print(_indent(" ".join(f"{name}={code}" for name, code in stopped.items())))
    return max(status, *map(abs, stopped.values()))


def _standins(deployment: Deployment) -> list[local_deployment.Standin]:
    engines = [
        local_deployment.Standin(
            f"engine-{number + 1}",
            "medlar-standin-engine",
            {
                "labels": f"service={deployment.model},pool={pool}",
                "models": deployment.model,
                "data_centre": deployment.data_centres[number],
                "first_token_s": "0.02",
                "token_s": "0.005",
            },
        )
        for number, pool in enumerate(("a", "a", "b"))
    ]
    service = local_deployment.Standin(
        "service-1",
        "medlar-standin-service",
        {
            "labels": f"service={deployment.service}",
            "data_centre": deployment.data_centres[0],
            "delay_s": "0.005",
            "slots": "32",
        },
    )
    return [*engines, service]


def _load(deployment: Deployment, local: local_deployment.LocalDeployment) -> int:
    """Run the load tool, change the route meanwhile, and print what came of it."""
    experiment = local.folder / "experiment.toml"
    entries = ", ".join(f'"{address}"' for address in local.entry_addresses)
    experiment.write_text(
        f"entries = [{entries}]\nduration_s = {_LOAD_S}\n"
        f'data_centre = "{deployment.data_centres[0]}"\n{deployment.classes}'
    )
    load = subprocess.Popen(
        [local_processes.installed("medlar-load"), str(experiment)],
        stdout=subprocess.PIPE,
        text=True,
    )
    # The change comes in the middle of the run; nothing waits on this pause.
    time.sleep(_CHANGE_AFTER_S)
    before = _answered_by_pool_b(local)
    changed = local.folder / "changed.toml"
    text = (_EXAMPLES / f"{deployment.name}.toml").read_text()
    changed.write_text(text.replace(deployment.route, deployment.wider_route))
    applied = local.apply(changed)
    output, _ = load.communicate(timeout=120.0)
    after = _answered_by_pool_b(local)
    print(_indent(f"route changed: {applied.output.strip()}"))
    print(_indent(f"requests answered by pool b before the change: {before}, in the end: {after}"))
    print(_indent(output))
    moved = applied.status == 0 and after > before
    return load.returncode if moved else 1


def _answered_by_pool_b(local: local_deployment.LocalDeployment) -> int:
    """Return how many requests the engine of pool b has executed."""
    state = local.get_json(f"{_address_of(local, 'engine-3')}/v1/state")
    return sum(state["executions"].values())


def _address_of(local: local_deployment.LocalDeployment, upstream_id: str) -> str:
    for name in local.entry_names:
        for item in local.entry_status(name)["upstreams"]:
            if item["upstream_id"] == upstream_id:
                return item["address"]
    raise TimeoutError(f"{upstream_id} is not known to any entry host")


def _stop(local: local_deployment.LocalDeployment, standins: list[str]) -> dict[str, int]:
    stopped = local.processes.stop(standins)
    stopped |= local.processes.stop(local.entry_names)
    return stopped | local.processes.stop(local.control_names)


def _step(text: str) -> None:
    print(f"-- {text}", flush=True)


def _indent(text: str) -> str:
    return "\n".join(f"   {line}" for line in text.strip().splitlines())


def _print_logs(folder: pathlib.Path) -> None:
    for log in sorted(folder.glob("*.log")):
        print(f"--- {log.name}")
        print(_indent("\n".join(log.read_text().splitlines()[-20:])))


if __name__ == "__main__":
    raise SystemExit(main())
