"""Share a model's traffic between its versions by weight."""

import math

import xxhash

from marigoldhoist.components.routing.const import HASH_RANGE
from marigoldhoist.components.table.state import TableState


def usable_weights(
    state: TableState, workspace: str, model: str
) -> dict[str, int]:
    """Return the weights of the versions that the workspace may use now."""
    workspace_row = state.workspace(workspace)
    model_row = state.model(model)
    if workspace_row is None or model_row is None:
        return {}
    return {
        version: weight
        for version, weight in model_row.weights_by_version.items()
        if weight
        and workspace_row.allows(model, version)
        and state.takes_work(model, version)
    }


def pick_by_weight(weights: dict[str, int], key: str) -> str:
    """Pick a version by weighted rendezvous hashing of the key.

    The same key and weights give the same version at every daemon, and a
    change of one weight moves only the keys it has to.
    """
    return max(weights, key=lambda version: _score(version, weights, key))


def _score(version: str, weights: dict[str, int], key: str) -> float:
    digest = xxhash.xxh3_64_intdigest(f'{key}\0{version}'.encode())
    uniform = (digest + 1) / (HASH_RANGE + 1)
    return -weights[version] / math.log(uniform)
