"""The current routes, workspaces and limits, and their staleness."""

from marigoldhoist.components.configuration.const import COMPONENT
from marigoldhoist.components.configuration.service import ConfigurationService
from marigoldhoist.core.deployments import GATEWAY
from marigoldhoist.core.kernel import Kernel, component


@component(COMPONENT, deployment=GATEWAY)
def set_up(_kernel: Kernel) -> ConfigurationService:
    """Create the configuration service."""
    return ConfigurationService()
