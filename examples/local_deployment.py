"""Run a whole small deployment on loopback: control replicas, entry hosts and stand-ins."""

from __future__ import annotations

import dataclasses
import hashlib
import json
import pathlib
import shutil
import subprocess
import urllib.error
import urllib.request
from collections.abc import Mapping, Sequence
from typing import Any

from examples import local_processes

OPERATOR_KEY = "demo-operator-key"
ANNOUNCE_KEY = "demo-announce-key"
_COMMAND_LIMIT_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class Standin:
    """Describe one stand-in upstream.

    Attributes:
        command: ``medlar-standin-engine`` or ``medlar-standin-service``.
        flags: Its settings by flag name.
    """

    name: str
    command: str
    flags: Mapping[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class CommandResult:
    """Hold what a command printed and how it ended."""

    status: int
    output: str
    errors: str


class LocalDeployment:
    """Own the processes and files of one deployment in one folder."""

    def __init__(
        self,
        folder: pathlib.Path,
        processes: local_processes.LocalProcesses,
        *,
        data_centres: Sequence[str],
        controls: int = 3,
        entries: int = 3,
        keys: bool = True,
        entry_settings: str = "entries_lifetime_s = 1.0\n",
        control_settings: str = "",
    ) -> None:
        """Choose ports and write every settings file; nothing is started.

        Args:
            keys: Whether links between processes are authenticated.
            entry_settings: Further lines for the entry hosts' settings files.
            control_settings: Further lines for the control replicas' settings files.
        """
        self.folder = folder
        self.processes = processes
        self.control_names = tuple(f"control-{number + 1}" for number in range(controls))
        self.entry_names = tuple(f"entry-{number + 1}" for number in range(entries))
        self._port_by_name = {
            name: local_processes.free_port() for name in (*self.control_names, *self.entry_names)
        }
        self._link_port_by_name = {
            name: local_processes.free_port() for name in (*self.control_names, *self.entry_names)
        }
        self._standin_port_by_name: dict[str, int] = {}
        self._keys = keys
        self._write_keys()
        for name in self.control_names:
            self._write_control(name, control_settings)
        for number, name in enumerate(self.entry_names):
            self._write_entry(name, data_centres[number % len(data_centres)], entry_settings)

    def address(self, name: str) -> str:
        """Return the HTTP address of a control replica or an entry host."""
        return f"http://127.0.0.1:{self._port_by_name[name]}"

    @property
    def entry_addresses(self) -> tuple[str, ...]:
        """Return the HTTP addresses of all entry hosts."""
        return tuple(self.address(name) for name in self.entry_names)

    def start_system(self) -> None:
        """Start control and the entry hosts and wait until control has a leader."""
        for name in self.control_names:
            self.start(name)
        for name in self.entry_names:
            self.start(name)
        for name in (*self.control_names, *self.entry_names):
            health = f"{self.address(name)}/healthz"
            local_processes.wait_until(lambda url=health: local_processes.answers(url), health)
        self.wait_for_leader()

    def start(self, name: str) -> None:
        """Start one control replica or entry host."""
        role = "control" if name in self.control_names else "entry"
        settings = self.folder / f"{name}.toml"
        self.processes.start(
            local_processes.Program(
                name,
                f"medlar-{role}",
                (f"--settings={settings}",),
                self.folder / f"{name}.log",
            )
        )

    def restart(self, name: str) -> None:
        """Start a control replica or an entry host again and wait until it answers."""
        self.processes.restart(name)
        health = f"{self.address(name)}/healthz"
        local_processes.wait_until(lambda: local_processes.answers(health), health)

    def cut_link(self, name: str, peer: str) -> None:
        """Let a process send nothing to a control replica any more, from its next start on."""
        settings = self.folder / f"{name}.toml"
        nowhere = f"tcp://127.0.0.1:{local_processes.free_port()}"
        settings.write_text(settings.read_text().replace(self._link_address(peer), nowhere))

    def start_standin(self, standin: Standin) -> None:
        """Start a stand-in that announces itself to all entry hosts."""
        port = self._standin_port_by_name.setdefault(standin.name, local_processes.free_port())
        flags = {
            "name": standin.name,
            "port": str(port),
            "entries": ",".join(self.entry_addresses),
            "announce_key": ANNOUNCE_KEY,
            **standin.flags,
        }
        self.processes.start(
            local_processes.Program(
                standin.name,
                standin.command,
                tuple(f"--{name}={value}" for name, value in flags.items()),
                self.folder / f"{standin.name}.log",
            )
        )

    def apply(self, configuration: pathlib.Path) -> CommandResult:
        """Put a configuration in force and wait until every entry host has it."""
        return self.ctl("apply", str(configuration), "--wait")

    def ctl(self, *arguments: str) -> CommandResult:
        """Run ``medlarctl``."""
        return run_command("medlarctl", *self.ctl_arguments(*arguments))

    def ctl_arguments(self, *arguments: str) -> tuple[str, ...]:
        """Return these arguments of ``medlarctl`` and those that name this deployment."""
        controls = ",".join(self.address(name) for name in self.control_names)
        return (
            *arguments,
            f"--control={controls}",
            f"--entry={','.join(self.entry_addresses)}",
            f"--operator_key_file={self.folder / 'operator.key'}",
            "--operator=demo",
        )

    def standin_address(self, name: str) -> str:
        """Return the HTTP address of a stand-in that was started."""
        return f"http://127.0.0.1:{self._standin_port_by_name[name]}"

    def control_status(self, name: str) -> dict[str, Any]:
        """Return a control replica's own status."""
        return self.get_json(f"{self.address(name)}/v1/status")

    def leader(self) -> str:
        """Return the control replica that leads with a lease; empty if none that answers does."""
        for name in filter(self.processes.responsive, self.control_names):
            try:
                if self.control_status(name)["has_lease"]:
                    return name
            except (urllib.error.URLError, OSError):
                continue
        return ""

    def wait_for_leader(self) -> str:
        """Wait until a control replica leads with a lease, and return its name."""
        return local_processes.wait_until(self.leader, "a control leader")

    def wipe(self, name: str) -> None:
        """Remove the data folder of a control replica that is not running."""
        shutil.rmtree(self.data_folder(name))

    def entry_status(self, name: str) -> dict[str, Any]:
        """Return an entry host's status."""
        return self.get_json(f"{self.address(name)}/v1/status")

    def get_json(self, url: str) -> dict[str, Any]:
        """Return the JSON that an operator gets from a URL."""
        asked = urllib.request.Request(url, headers={"Authorization": f"Bearer {OPERATOR_KEY}"})
        with urllib.request.urlopen(asked, timeout=10.0) as response:
            return json.load(response)

    def wait_for_upstreams(self, names: Sequence[str]) -> None:
        """Wait until the entry hosts together know these upstreams."""
        local_processes.wait_until(
            lambda: set(names) <= self.known_upstreams(), f"upstreams {', '.join(names)}"
        )

    def known_upstreams(self) -> set[str]:
        """Return the ids of the upstreams that any running entry host knows."""
        running = filter(self.processes.responsive, self.entry_names)
        statuses = [self.entry_status(name) for name in running]
        return {item["upstream_id"] for status in statuses for item in status["upstreams"]}

    def _write_keys(self) -> None:
        (self.folder / "operator.key").write_text(OPERATOR_KEY + "\n")
        (self.folder / "operator.key").chmod(0o600)
        if not self._keys:
            return
        for name in self._port_by_name:
            run_command("medlarctl", "keygen", str(self.folder / "keys"), name)

    def _write_control(self, name: str, further: str) -> None:
        replicas = "\n".join(
            "[[replicas]]\n"
            f'replica_id = "{peer}"\n'
            f'link_address = "{self._link_address(peer)}"\n'
            f'http_address = "{self.address(peer)}"\n'
            for peer in self.control_names
        )
        text = (
            f'replica_id = "{name}"\n'
            f'data_folder = "{self.data_folder(name)}"\n'
            f'keys_folder = "{self._keys_folder()}"\n'
            f"{further}"
            f'[[operators]]\nname = "demo"\nkey_sha256 = "{_digest(OPERATOR_KEY)}"\n'
            f"{replicas}"
        )
        (self.folder / f"{name}.toml").write_text(text)

    def data_folder(self, name: str) -> pathlib.Path:
        """Return the data folder of a control replica."""
        return self.folder / f"{name}-data"

    def _write_entry(self, name: str, data_centre: str, further: str) -> None:
        controls = "\n".join(
            f'[[controls]]\nreplica_id = "{peer}"\nlink_address = "{self._link_address(peer)}"\n'
            for peer in self.control_names
        )
        text = (
            f'entry_id = "{name}"\n'
            f"http_port = {self._port_by_name[name]}\n"
            f'link_address = "{self._link_address(name)}"\n'
            f'data_centre = "{data_centre}"\n'
            f'keys_folder = "{self._keys_folder()}"\n'
            f'announce_key_sha256 = ["{_digest(ANNOUNCE_KEY)}"]\n'
            f'operator_key_sha256 = ["{_digest(OPERATOR_KEY)}"]\n'
            f"{further}{controls}"
        )
        (self.folder / f"{name}.toml").write_text(text)

    def _link_address(self, name: str) -> str:
        return f"tcp://127.0.0.1:{self._link_port_by_name[name]}"

    def _keys_folder(self) -> str:
        return str(self.folder / "keys") if self._keys else ""


def run_command(command: str, *arguments: str) -> CommandResult:
    """Run a program of the package to its end."""
    done = subprocess.run(
        [local_processes.installed(command), *arguments],
        capture_output=True,
        text=True,
        timeout=_COMMAND_LIMIT_S,
        check=False,
    )
    return CommandResult(done.returncode, done.stdout, done.stderr)


def _digest(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()
