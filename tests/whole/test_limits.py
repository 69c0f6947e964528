"""A caller over its limit is told so at once."""

from tools.world.caller import Caller
from tools.world.samples import SAMPLE_ROWS, WORKSPACE_KEY
from tools.world.world import World

SMALL = 'pult-model/small'
LARGE = 'pult-model/large'


class TestOverLimit:
    """The refusal is true, early and says when to come again."""

    def test_refused_as_not_run(self) -> None:
        limited = SAMPLE_ROWS['workspace/bench'] | {
            'limits': {'requests_per_s': 1}
        }
        with World(SAMPLE_ROWS | {'workspace/bench': limited}) as world:
            engine = world.add_engine('engine-1', 'zg-trnje', SMALL, LARGE)
            world.add_daemon('entry-1', 'zg-trnje')
            caller = Caller(world.address_of('entry-1'), WORKSPACE_KEY)
            replies = [caller.chat(max_tokens=1) for _ in range(6)]
            refused = [reply for reply in replies if reply.status == 429]
            assert refused
            assert len(engine.served) == len(replies) - len(refused)
            assert {reply.error_code for reply in refused} == {'over_limit'}
            assert {reply.verdict for reply in refused} == {'not_run'}
            assert all(
                int(reply.headers['retry-after']) >= 1 for reply in refused
            )
