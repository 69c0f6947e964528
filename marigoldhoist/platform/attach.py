"""Connect the platform adapter to the product's components."""

from typing import Final

from marigoldhoist.components.canary.const import COMPONENT as CANARY
from marigoldhoist.components.canary.service import CanaryService
from marigoldhoist.components.configuration.const import (
    COMPONENT as CONFIGURATION,
)
from marigoldhoist.components.configuration.service import ConfigurationService
from marigoldhoist.components.directory.service import find_directory
from marigoldhoist.components.feeds.const import COMPONENT as FEEDS
from marigoldhoist.components.feeds.feed import FeedPlan
from marigoldhoist.components.feeds.models import Topic
from marigoldhoist.components.feeds.service import FeedService
from marigoldhoist.components.gateway.const import COMPONENT as GATEWAY
from marigoldhoist.components.gateway.service import GatewayService
from marigoldhoist.components.quarantine.service import find_quarantine
from marigoldhoist.core.errors import SettingsError
from marigoldhoist.core.kernel import Kernel
from marigoldhoist.platform.dialect import PlatformDialect
from marigoldhoist.platform.settings import StoreSettings
from marigoldhoist.platform.status_records import StatusRecordCodec
from marigoldhoist.platform.store import PlatformStore
from marigoldhoist.platform.topic_handlers import (
    OperatorTopicHandler,
    ReplicaTopicHandler,
    StatusTopicHandler,
)

# The store answers this long poll as soon as there is a new record. Without
# one, the wait bounds the age of the last confirmation of the API keys.
OPERATOR_PLAN: Final = FeedPlan(Topic.OPERATOR, wait_s=0.8)
# Each replica writes about once a second. The pause batches their records and
# is short enough that a draining replica soon gets no new requests.
REPLICAS_PLAN: Final = FeedPlan(Topic.REPLICAS, wait_s=1.0, pause_s=0.5)


def attach_platform(kernel: Kernel) -> None:
    """Attach the store client, the dialect and the topic handlers."""
    feeds = kernel.find(FEEDS, FeedService)
    canary = kernel.find(CANARY, CanaryService)
    directory = find_directory(kernel)
    configuration = kernel.find(CONFIGURATION, ConfigurationService)
    store = kernel.settings.section(StoreSettings)
    if store.address is None:
        raise SettingsError('store.address is required')
    feeds.attach(PlatformStore(store.address))
    canary.attach(StatusTopicHandler(canary).handle_update, StatusRecordCodec())
    find_quarantine(kernel).attach(feeds)
    kernel.find(GATEWAY, GatewayService).attach(PlatformDialect())
    operator = OperatorTopicHandler(configuration, canary)
    feeds.follow(OPERATOR_PLAN, operator.handle_update)
    feeds.follow(
        REPLICAS_PLAN, ReplicaTopicHandler(directory, feeds).handle_update
    )
