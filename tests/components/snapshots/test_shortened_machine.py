"""A log that repeatedly loses its tail while daemons read and rejoin.

Guards against folded state being lost and against daemons that end up with
different states after they have exchanged entries and rejoined.
"""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from marigoldhoist.components.platform_log.const import TABLE_STREAM
from tests.components.snapshots.test_snapshots import Fleet, Node
from tests.machines import state_machine_settings
from tools.model_check.properties import Property

NODES = 2
GOSSIP_LIMIT_ENTRIES = 100

nodes = st.integers(0, NODES - 1)


class ShortenedLogMachine(RuleBasedStateMachine):
    """Nodes that fold words; a node never loses a word it has folded."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = Fleet()
        self.nodes = [self.fleet.node() for _ in range(NODES)]
        self.folded_words_by_node: list[list[str]] = [[] for _ in range(NODES)]
        self.appended = 0

    @rule(count=st.integers(1, 3))
    def append_words(self, count: int) -> None:
        """Append words, also to a log that has diverged from the nodes."""
        self.appended += count
        self.fleet.append_words(
            *(f'{self.appended}-{number}' for number in range(count))
        )

    @rule(node=nodes)
    def read(self, node: int) -> None:
        """Read the log once."""
        self.nodes[node].follower.read_once(0)

    @rule(node=nodes)
    def write_snapshot(self, node: int) -> None:
        """Write a snapshot, unless the node has diverged from the log."""
        if not self.nodes[node].feed.is_diverged:
            self.nodes[node].writer.write()

    @rule(lost=st.integers(1, 5))
    def lose_tail(self, lost: int) -> None:
        """Lose the last records, which nodes may have folded."""
        if any(node.feed.is_diverged for node in self.nodes):
            return
        kept = max(0, len(self.fleet.store.entries(TABLE_STREAM)) - lost)
        self.fleet.store.truncate(TABLE_STREAM, kept)

    @rule()
    def gossip_and_rejoin(self) -> None:
        """Exchange entries, as peers do within the delay, then rejoin."""
        for reader in self.nodes:
            reader.follow()
        self._exchange_entries()
        self.fleet.rejoin(*self.nodes)
        self.fleet.rejoin(*self.nodes)
        words = [self._words(node) for node in self.nodes]
        assert words[0] == words[1], Property.SAME_POSITION_SAME_STATE
        assert self._words(self.fleet.node()) == words[0], (
            Property.SAME_POSITION_SAME_STATE
        )

    @invariant()
    def folded_words_are_never_lost(self) -> None:
        """Check that each node still has every word it has folded."""
        for node, folded_words in zip(
            self.nodes, self.folded_words_by_node, strict=True
        ):
            words = self._words(node)
            kept = [word for word in folded_words if word in words]
            assert kept == folded_words, Property.NEVER_STEPS_BACK
            folded_words.extend(
                word for word in words if word not in folded_words
            )

    def _exchange_entries(self) -> None:
        for behind in self.nodes:
            for ahead in self.nodes:
                entries = ahead.feed.entries_from(
                    behind.feed.next_offset,
                    GOSSIP_LIMIT_ENTRIES,
                    behind.feed.last_id,
                )
                behind.feed.offer(entries)

    def _words(self, node: Node) -> list[str]:
        return [word for _, word in node.words.entries]


TestShortenedLogMachine = ShortenedLogMachine.TestCase
TestShortenedLogMachine.settings = state_machine_settings(60, 25)
