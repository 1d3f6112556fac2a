"""Generate and load the keys that authenticate links between processes.

Each process has a secret key and a public key (CURVE). A folder holds the process's own
``NAME.key`` and the ``NAME.pub`` of every process it may talk to.
"""

from __future__ import annotations

import dataclasses
import os
import pathlib
import re
import stat
import struct

import zmq
import zmq.utils.z85

from medlarfork import errors

SECRET_SUFFIX = ".key"
"""File name suffix of secret keys."""

PUBLIC_SUFFIX = ".pub"
"""File name suffix of public keys."""

_KEY_BYTES = 32
"""Size of a CurveZMQ key."""

_SECRET_MODE = 0o600
_PUBLIC_MODE = 0o644
_OTHERS = stat.S_IRWXG | stat.S_IRWXO
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}")


@dataclasses.dataclass(frozen=True, slots=True)
class LinkKeys:
    """Hold a process's own key pair and the public keys it knows; all in Z85 encoding.

    Attributes:
        name: Name of the process that owns the pair.
        public: Own public key.
        secret: Own secret key.
        public_by_name: Public keys of the known processes, keyed by their names.
    """

    name: str
    public: bytes
    secret: bytes = dataclasses.field(repr=False)
    public_by_name: dict[str, bytes] = dataclasses.field(default_factory=dict)

    @classmethod
    def load(cls, folder: str | os.PathLike[str], name: str) -> LinkKeys:
        """Load a process's secret key and all public keys of a folder.

        Raises:
            errors.LinkError: A file is missing or damaged, or other users can access the secret.
        """
        check_name(name)
        root = pathlib.Path(folder)
        secret = _read_secret(root / f"{name}{SECRET_SUFFIX}")
        public_by_name = {
            path.stem: _read_key(path) for path in sorted(root.glob(f"*{PUBLIC_SUFFIX}"))
        }
        _check_distinct(public_by_name)
        public = zmq.curve_public(secret)
        if public_by_name.get(name, public) != public:
            raise errors.LinkError(
                f"{name}{PUBLIC_SUFFIX} does not belong to {name}{SECRET_SUFFIX}.",
                remedy="Generate a new pair and copy the public key to the other hosts.",
            )
        return cls(name, public, secret, public_by_name)


def load_if_configured(folder: str, name: str) -> LinkKeys | None:
    """Load keys as ``LinkKeys.load`` does; None (no authentication) if no folder is configured.

    Raises:
        errors.LinkError: A file is missing or damaged, or other users can access the secret.
    """
    return LinkKeys.load(folder, name) if folder else None


def generate(folder: str | os.PathLike[str], name: str) -> tuple[pathlib.Path, pathlib.Path]:
    """Write a new ``NAME.key``, readable by its owner only, and ``NAME.pub``.

    Returns:
        The paths of the secret and the public key.

    Raises:
        errors.LinkError: The key exists already or can't be written.
    """
    check_name(name)
    root = pathlib.Path(folder)
    secret_path = root / f"{name}{SECRET_SUFFIX}"
    public_path = root / f"{name}{PUBLIC_SUFFIX}"
    public, secret = zmq.curve_keypair()
    try:
        root.mkdir(parents=True, exist_ok=True)
        _write(secret_path, secret, _SECRET_MODE, os.O_EXCL)
        _write(public_path, public, _PUBLIC_MODE, os.O_TRUNC)
    except OSError as error:
        raise errors.LinkError(
            f"The key {secret_path} could not be written: {error.strerror}.",
            remedy="Choose a new name or a folder that can be written, or remove the old key.",
        ) from error
    return secret_path, public_path


def check_name(name: str) -> None:
    """Check that a name is valid for key files and links.

    Raises:
        errors.LinkError: The name is invalid.
    """
    if not _NAME.fullmatch(name):
        raise errors.LinkError(
            f"{name[:100]!r} is not a valid name of a process.",
            remedy="Use 1 to 100 letters, digits, dots, dashes and underscores.",
        )


def _write(path: pathlib.Path, key: bytes, mode: int, flag: int) -> None:
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | flag, mode)
    with os.fdopen(descriptor, "wb") as file:
        file.write(key + b"\n")


def _read_secret(path: pathlib.Path) -> bytes:
    try:
        mode = path.stat().st_mode
    except OSError as error:
        raise errors.LinkError(
            f"The secret key {path} can't be read: {error.strerror}.",
            remedy="Generate it with medlarctl keygen and set its folder in the settings.",
        ) from error
    if mode & _OTHERS:
        raise errors.LinkError(
            f"The secret key {path} can be read or changed by other users.",
            remedy=f"Run chmod 600 {path}.",
        )
    return _read_key(path)


def _read_key(path: pathlib.Path) -> bytes:
    try:
        key = path.read_bytes().strip()
        if len(zmq.utils.z85.decode(key)) == _KEY_BYTES:
            return key
    except (OSError, ValueError, KeyError, struct.error) as error:
        raise _damaged(path) from error
    raise _damaged(path)


def _damaged(path: pathlib.Path) -> errors.LinkError:
    return errors.LinkError(
        f"The key file {path} does not hold a key.",
        remedy="Copy it again from the host where it was generated, or generate a new pair.",
    )


def _check_distinct(public_by_name: dict[str, bytes]) -> None:
    """Reject one key under two names, which would make the sender ambiguous."""
    name_by_public: dict[bytes, str] = {}
    for name, public in public_by_name.items():
        other = name_by_public.setdefault(public, name)
        if other != name:
            raise errors.LinkError(
                f"{other} and {name} have the same public key.",
                remedy="Generate a key pair for each process.",
            )
