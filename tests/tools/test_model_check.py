"""The specifications are proved and every mutant is rejected."""

import pytest

from tools.model_check.__main__ import main, spec_by_mutant
from tools.model_check.checker import CheckFailedError, prove, search
from tools.model_check.system import specifications_by_name

SPECIFICATIONS = tuple(specifications_by_name)
MUTANTS = tuple(spec_by_mutant())


class TestSpecification:
    """Each protocol is proved for runs of any length."""

    @pytest.mark.parametrize('name', SPECIFICATIONS)
    def test_is_inductive(self, name: str) -> None:
        prove(specifications_by_name[name].build(''))


class TestMutants:
    """Each faulty variant of a protocol has a counterexample and no proof."""

    @pytest.mark.parametrize('mutant', MUTANTS)
    def test_has_a_counterexample(
        self, mutant: str, capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert main(['--mutant', mutant]) == 1
        assert 'is violated after\n  1. ' in capsys.readouterr().out

    @pytest.mark.parametrize('mutant', MUTANTS)
    def test_is_not_proved(self, mutant: str) -> None:
        system = specifications_by_name[spec_by_mutant()[mutant]].build(mutant)
        with pytest.raises(CheckFailedError):
            prove(system)

    def test_unknown_mutant_is_a_usage_error(self) -> None:
        assert main(['--mutant', 'no such']) == 2

    def test_counterexample_is_the_shortest(self) -> None:
        counterexample = search(
            specifications_by_name['bills'].build('reappend_new_id')
        )
        assert counterexample is not None
        assert len(counterexample.steps) == 2
