"""Put the platform's translations where the product needs them."""

from typing import Final

from marigoldhoist.components.canary.const import COMPONENT as CANARY
from marigoldhoist.components.canary.service import CanaryService
from marigoldhoist.components.configuration.const import (
    COMPONENT as CONFIGURATION,
)
from marigoldhoist.components.configuration.service import ConfigurationService
from marigoldhoist.components.directory.const import COMPONENT as DIRECTORY
from marigoldhoist.components.directory.service import DirectoryService
from marigoldhoist.components.feeds.const import COMPONENT as FEEDS
from marigoldhoist.components.feeds.feed import FeedPlan
from marigoldhoist.components.feeds.models import Topic
from marigoldhoist.components.feeds.service import FeedService
from marigoldhoist.components.gateway.const import COMPONENT as GATEWAY
from marigoldhoist.components.gateway.service import GatewayService
from marigoldhoist.core.errors import SettingsError
from marigoldhoist.core.kernel import Kernel
from marigoldhoist.platform.dialect import PlatformDialect
from marigoldhoist.platform.records import status_record
from marigoldhoist.platform.settings import StoreSettings
from marigoldhoist.platform.store import PlatformStore
from marigoldhoist.platform.translators import (
    OperatorTopic,
    ReplicaTopic,
    StatusTopic,
)

# A read of the operator's topic is answered at once where there is news; its
# wait bounds how old the proof of a key gets.
OPERATOR_PLAN: Final = FeedPlan(Topic.OPERATOR, wait_s=0.8)
# Replicas write every second or so, and a leaving one must get no work for
# long: reads follow at this pace.
REPLICAS_PLAN: Final = FeedPlan(Topic.REPLICAS, wait_s=1.0, pause_s=0.5)


def attach_platform(kernel: Kernel) -> None:
    """Attach the store, the messages and the records of the platform."""
    feeds = kernel.find(FEEDS, FeedService)
    canary = kernel.find(CANARY, CanaryService)
    directory = kernel.find(DIRECTORY, DirectoryService)
    configuration = kernel.find(CONFIGURATION, ConfigurationService)
    store = kernel.settings.section(StoreSettings)
    if store.address is None:
        raise SettingsError('store.address is needed')
    feeds.attach(PlatformStore(store.address))
    canary.attach(StatusTopic(canary).tell, status_record)
    kernel.find(GATEWAY, GatewayService).attach(PlatformDialect())
    operator = OperatorTopic(configuration, canary)
    feeds.follow(OPERATOR_PLAN, operator.tell)
    feeds.follow(REPLICAS_PLAN, ReplicaTopic(directory, feeds).tell)
