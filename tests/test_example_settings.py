"""The example settings files load and are consistent with each other."""

import hashlib
import pathlib

import pytest

from medlarfork.control import control_settings
from medlarfork.entry import entry_settings
from medlarfork.operator import _ctl_types
from medlarfork.settings import settings

_FOLDER = pathlib.Path(__file__).parent.parent / "examples" / "settings"
_CONTROLS = ("control-1", "control-2", "control-3")
_ENTRIES = ("entry-1", "entry-2")


def _control(name: str) -> control_settings.ControlSettings:
    return settings.load(_FOLDER / f"{name}.toml", control_settings.ControlSettings)


def _entry(name: str) -> entry_settings.EntrySettings:
    return settings.load(_FOLDER / f"{name}.toml", entry_settings.EntrySettings)


def _digest(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()


def test_every_example_file_is_tested():
    assert {path.stem for path in _FOLDER.iterdir()} == {*_CONTROLS, *_ENTRIES, "ctl"}


@pytest.mark.parametrize("name", _CONTROLS)
def test_control_settings_load(name: str):
    loaded = _control(name)
    control_settings.check(loaded)
    assert loaded.replica_id == name
    assert loaded.replicas == _control("control-1").replicas
    assert loaded.operators[0].key_sha256 == _digest("example-operator-key")


def test_data_folders_differ():
    assert len({_control(name).data_folder for name in _CONTROLS}) == len(_CONTROLS)


@pytest.mark.parametrize("name", _ENTRIES)
def test_entry_settings_load(name: str):
    loaded = _entry(name)
    assert loaded.entry_id == name
    assert loaded.announce_key_sha256 == (_digest("example-announce-key"),)
    assert loaded.operator_key_sha256 == (_digest("example-operator-key"),)
    known = {item.replica_id: item.link_address for item in _control("control-1").replicas}
    assert {item.replica_id: item.link_address for item in loaded.controls} == known


def test_ctl_settings_list_every_host():
    loaded = settings.load(_FOLDER / "ctl.toml", _ctl_types.CtlSettings)
    replicas = _control("control-1").replicas
    assert loaded.control == tuple(item.http_address for item in replicas)
    entries = [_entry(name) for name in _ENTRIES]
    assert loaded.entry == tuple(f"http://{item.http_host}:{item.http_port}" for item in entries)


def test_no_address_is_used_twice():
    entries = [_entry(name) for name in _ENTRIES]
    used = [f"http://{item.http_host}:{item.http_port}" for item in entries]
    used += [item.link_address for item in entries]
    for replica in _control("control-1").replicas:
        used += [replica.http_address, replica.link_address]
    ports = [address.rpartition(":")[2] for address in used]
    assert len(set(ports)) == len(ports)
