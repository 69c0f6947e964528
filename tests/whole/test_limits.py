"""Requests over a workspace's rate limit are rejected immediately."""

from tools.world.caller import Caller
from tools.world.samples import SAMPLE_ROWS, WORKSPACE_KEY
from tools.world.world import World

SMALL = 'pult-model/small'
LARGE = 'pult-model/large'


class TestOverLimit:
    """A rejected request never reaches an engine and gets a Retry-After."""

    def test_rejected_as_not_run(self) -> None:
        limited = SAMPLE_ROWS['workspace/bench'] | {
            'limits': {'requests_per_s': 1}
        }
        with World(SAMPLE_ROWS | {'workspace/bench': limited}) as world:
            engine = world.add_engine('engine-1', 'zg-trnje', SMALL, LARGE)
            world.add_daemon('entry-1', 'zg-trnje')
            caller = Caller(world.address_of('entry-1'), WORKSPACE_KEY)
            replies = [caller.chat(max_tokens=1) for _ in range(6)]
            rejected = [reply for reply in replies if reply.status == 429]
            assert rejected
            assert len(engine.served) == len(replies) - len(rejected)
            assert {reply.error_code for reply in rejected} == {'over_limit'}
            assert {reply.verdict for reply in rejected} == {'not_run'}
            assert all(
                int(reply.headers['retry-after']) >= 1 for reply in rejected
            )
