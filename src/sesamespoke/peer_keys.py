"""The keys by which entry hosts authenticate each other."""

import ssl
from pathlib import Path
from typing import Any, Final

import structlog

from sesamespoke.metrics import Metrics
from sesamespoke.settings import TLSFiles

KEY_CHECK_SECONDS: Final = 5.0

FileState = tuple[tuple[int, int, int], ...]

log = structlog.get_logger()


class PeerKeys:
    """TLS contexts from PEM files, which are read again when they change."""

    def __init__(self, files: TLSFiles, metrics: Metrics) -> None:
        """Read the files; raise ``OSError`` if they are unfit."""
        self._files = files
        self._metrics = metrics
        self._state = _read_state(files)
        self.server = _make_context(files, ssl.Purpose.CLIENT_AUTH)
        self.client = _make_context(files, ssl.Purpose.SERVER_AUTH)

    def reload(self) -> bool:
        """Read changed files; return whether there are new keys.

        Unfit files, such as a pair that is only half replaced, are left
        aside until they change again.
        """
        try:
            state = _read_state(self._files)
            if state == self._state:
                return False
            self._state = state
            server = _make_context(self._files, ssl.Purpose.CLIENT_AUTH)
            client = _make_context(self._files, ssl.Purpose.SERVER_AUTH)
        except OSError as exc:
            self._metrics.count('peer_key_reloads', outcome='failed')
            log.warning('peer_keys_unfit', reason=str(exc))
            return False
        self.server = server
        self.client = client
        self._metrics.count('peer_key_reloads', outcome='ok')
        log.info('peer_keys_renewed')
        return True


def names_in(certificate: dict[str, Any] | None) -> frozenset[str]:
    """Return the DNS names of a verified certificate."""
    rows = (certificate or {}).get('subjectAltName', ())
    return frozenset(name for kind, name in rows if kind == 'DNS')


def _make_context(files: TLSFiles, purpose: ssl.Purpose) -> ssl.SSLContext:
    """Return a context that wants a certificate of the other side.

    The names in it are compared with the peer's hello, not with its IP
    number.
    """
    context = ssl.create_default_context(purpose, cafile=files.authority)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    context.load_cert_chain(files.certificate, files.key)
    return context


def _read_state(files: TLSFiles) -> FileState:
    """Return what changes when one of the files is replaced."""
    paths = (files.certificate, files.key, files.authority)
    stats = (Path(path).stat() for path in paths)
    return tuple(
        (stat.st_ino, stat.st_mtime_ns, stat.st_size) for stat in stats
    )
