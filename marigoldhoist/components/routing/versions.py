"""Select the versions of a model and their weights for a request."""

from marigoldhoist.components.routing.shares import is_within_share
from marigoldhoist.components.table.models import ModelRow
from marigoldhoist.components.table.state import TableState
from marigoldhoist.core.rendezvous import pick_by_weight

__all__ = ('pick_by_weight', 'usable_weights', 'within_roll_out')


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


def within_roll_out(
    model: ModelRow | None, weights: dict[str, int], key: str
) -> dict[str, int]:
    """Return the weights of the versions that may take the request.

    A version that is being rolled out takes only the requests of its share.
    """
    roll_out = model.roll_out if model else None
    if roll_out is None:
        return weights
    if is_within_share(key, roll_out.version, roll_out.share):
        return weights
    return {
        version: weight
        for version, weight in weights.items()
        if version != roll_out.version
    }
