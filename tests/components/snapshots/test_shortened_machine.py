"""A log that loses its tail, while daemons read, relay and put it back."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from marigoldhoist.components.platform_log.const import TABLE_STREAM
from tests.components.snapshots.test_snapshots import Fleet, Node
from tests.machines import state_machine_settings
from tools.model_check.properties import Property

NODES = 2
RELAYED = 100

nodes = st.integers(0, NODES - 1)


class ShortenedLogMachine(RuleBasedStateMachine):
    """Nodes that gather words; a word that was shown never goes again."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = Fleet()
        self.nodes = [self.fleet.node() for _ in range(NODES)]
        self.shown: list[list[str]] = [[] for _ in range(NODES)]
        self.said = 0

    @rule(count=st.integers(1, 3))
    def say(self, count: int) -> None:
        """Append words, though the log may hold another history."""
        self.said += count
        self.fleet.say(*(f'{self.said}-{number}' for number in range(count)))

    @rule(node=nodes)
    def read(self, node: int) -> None:
        """Read the log once."""
        self.nodes[node].follower.read_once(0)

    @rule(node=nodes)
    def write_snapshot(self, node: int) -> None:
        """Write a snapshot, unless the log holds another history."""
        if not self.nodes[node].feed.is_diverged:
            self.nodes[node].writer.write()

    @rule(lost=st.integers(1, 5))
    def lose_tail(self, lost: int) -> None:
        """Lose records, which some nodes have folded."""
        if any(one.feed.is_diverged for one in self.nodes):
            return
        kept = max(0, len(self.fleet.store.entries(TABLE_STREAM)) - lost)
        self.fleet.store.truncate(TABLE_STREAM, kept)

    @rule()
    def level_and_rejoin(self) -> None:
        """Let peers level up, as they do within the delay; then rejoin."""
        for reader in self.nodes:
            reader.follow()
        self._level()
        self.fleet.rejoin(*self.nodes)
        self.fleet.rejoin(*self.nodes)
        words = [self._words(node) for node in self.nodes]
        assert words[0] == words[1], Property.SAME_POSITION_SAME_STATE
        assert self._words(self.fleet.node()) == words[0], (
            Property.SAME_POSITION_SAME_STATE
        )

    @invariant()
    def keeps_what_was_shown(self) -> None:
        """Show every word that was ever shown."""
        for node, shown in zip(self.nodes, self.shown, strict=True):
            words = self._words(node)
            kept = [word for word in shown if word in words]
            assert kept == shown, Property.NEVER_STEPS_BACK
            shown.extend(word for word in words if word not in shown)

    def _level(self) -> None:
        for behind in self.nodes:
            for ahead in self.nodes:
                entries = ahead.feed.entries_from(
                    behind.feed.next_offset, RELAYED, behind.feed.last_id
                )
                behind.feed.offer(entries)

    def _words(self, node: Node) -> list[str]:
        return [word for _, word in node.words.found]


TestShortenedLogMachine = ShortenedLogMachine.TestCase
TestShortenedLogMachine.settings = state_machine_settings(60, 25)
