"""Find out whether a replica has ended or only a connection to it was lost."""

import asyncio
import contextlib

from marigoldhoist.components.directory.models import Replica
from marigoldhoist.components.quarantine.const import INSPECTION_TIMEOUT_S


async def has_ended(replica: Replica) -> bool:
    """Return whether nothing listens at the replica's address any more.

    A replica that is cut off does not answer at all, and one that lost or reset
    a single connection accepts a new one.
    """
    entry = replica.entry
    try:
        async with asyncio.timeout(INSPECTION_TIMEOUT_S):
            _, writer = await asyncio.open_connection(entry.address, entry.port)
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False
    writer.close()
    with contextlib.suppress(ConnectionError):
        await writer.wait_closed()
    return False
