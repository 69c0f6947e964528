"""Settings of the peers component."""

import os
import pathlib
from typing import Annotated

import msgspec

from marigoldhoist.core.errors import SettingsError
from marigoldhoist.core.identity import Port
from marigoldhoist.core.settings import settings_section

MIN_KEY_BYTES = 16


@settings_section('peers')
class PeerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The peer port and the location of the key shared by all daemons.

    Every daemon dials all others of its failure domain, and
    links_per_foreign_domain daemons of each other domain.
    """

    port: Port = 7200
    links_per_foreign_domain: Annotated[int, msgspec.Meta(ge=1, le=64)] = 2
    key_file: str = ''
    key_variable: str = 'MARIGOLDHOIST_PEER_KEY'

    def read_key(self) -> bytes:
        """Return the shared key.

        Raises SettingsError if it is missing, unreadable or shorter than
        MIN_KEY_BYTES.
        """
        if self.key_file:
            key = _read_file(self.key_file)
        else:
            key = os.environ.get(self.key_variable, '').encode()
        if len(key) < MIN_KEY_BYTES:
            raise SettingsError(
                f'peers: the shared key has under {MIN_KEY_BYTES} bytes; set'
                f' peers.key_file or the variable {self.key_variable}'
            )
        return key


def _read_file(path: str) -> bytes:
    try:
        return pathlib.Path(path).read_bytes().strip()
    except OSError as error:
        raise SettingsError(
            f'peers.key_file = {path!r}: {error.strerror}'
        ) from error
