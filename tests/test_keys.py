"""Keys are written with safe file permissions; insecure or damaged ones are rejected."""

import pathlib

import pytest

from medlarfork import errors
from medlarfork.links import keys


def test_generated_keys_load_with_those_of_the_peers(tmp_path: pathlib.Path) -> None:
    secret, public = keys.generate(tmp_path, "entry-1")
    keys.generate(tmp_path, "control-1")
    loaded = keys.LinkKeys.load(tmp_path, "entry-1")
    assert secret.stat().st_mode & 0o777 == 0o600
    assert set(loaded.public_by_name) == {"control-1", "entry-1"}
    assert loaded.public == public.read_bytes().strip()
    assert loaded.secret.decode() not in repr(loaded)


@pytest.mark.parametrize("mode", [0o640, 0o604, 0o620])
def test_a_secret_open_to_others_is_refused(tmp_path: pathlib.Path, mode: int) -> None:
    secret, _ = keys.generate(tmp_path, "entry-1")
    secret.chmod(mode)
    with pytest.raises(errors.LinkError, match="chmod 600"):
        keys.LinkKeys.load(tmp_path, "entry-1")


def test_a_key_is_never_overwritten(tmp_path: pathlib.Path) -> None:
    secret, _ = keys.generate(tmp_path, "entry-1")
    before = secret.read_bytes()
    with pytest.raises(errors.LinkError, match="remove the old key"):
        keys.generate(tmp_path, "entry-1")
    assert secret.read_bytes() == before


@pytest.mark.parametrize("content", [b"", b"short", b"~" * 40, b"#" * 40, b"\xff" * 40, b"!" * 45])
def test_a_damaged_key_is_refused(tmp_path: pathlib.Path, content: bytes) -> None:
    keys.generate(tmp_path, "entry-1")
    (tmp_path / "entry-2.pub").write_bytes(content)
    with pytest.raises(errors.LinkError, match="entry-2.pub"):
        keys.LinkKeys.load(tmp_path, "entry-1")


def test_one_key_under_two_names_is_refused(tmp_path: pathlib.Path) -> None:
    _, public = keys.generate(tmp_path, "entry-1")
    (tmp_path / "entry-2.pub").write_bytes(public.read_bytes())
    with pytest.raises(errors.LinkError, match="same public key"):
        keys.LinkKeys.load(tmp_path, "entry-1")


def test_a_missing_secret_and_a_bad_name_are_refused(tmp_path: pathlib.Path) -> None:
    with pytest.raises(errors.LinkError, match="medlarctl keygen"):
        keys.LinkKeys.load(tmp_path, "entry-1")
    with pytest.raises(errors.LinkError):
        keys.generate(tmp_path, "../entry-1")
