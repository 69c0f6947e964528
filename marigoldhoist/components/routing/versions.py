"""Share a model's traffic between its versions by weight."""

from marigoldhoist.components.table.state import TableState
from marigoldhoist.core.rendezvous import pick_by_weight

__all__ = ('pick_by_weight', 'usable_weights')


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
