"""Find each log call of the gateway deployment and the fields it passes."""

import ast
import dataclasses
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Final

ROOT: Final = Path(__file__).parent.parent / 'marigoldhoist'
PACKAGES: Final = (
    'components/canary',
    'components/configuration',
    'components/directory',
    'components/feeds',
    'components/gateway',
    'components/mirrors',
    'platform',
)
# Fields that `CallProgress.note` adds to each line about a request.
NOTE_FIELDS: Final = frozenset(('request_id', 'route', 'elapsed_s'))


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """A call that logs an event, the fields it passes and its location."""

    event: str
    fields: frozenset[str]
    location: str


def log_lines() -> Iterator[LogLine]:
    """Yield each call in the gateway deployment that logs an event."""
    for package in PACKAGES:
        paths = sorted((ROOT / package).rglob('*.py'))
        tree_by_path = {path: ast.parse(path.read_text()) for path in paths}
        returned: dict[str, frozenset[str]] = {}
        for tree in tree_by_path.values():
            returned.update(_returned_fields(tree))
        for path, tree in tree_by_path.items():
            assigned = returned | _assigned_fields(tree)
            yield from _lines_in(path, tree, assigned)


def _lines_in(
    path: Path, tree: ast.Module, fields_by_name: Mapping[str, frozenset[str]]
) -> Iterator[LogLine]:
    for call in ast.walk(tree):
        if not isinstance(call, ast.Call) or not call.args:
            continue
        if _name_of(call.func) not in {'emit', 'note'}:
            continue
        fields = frozenset(_fields_of(call, fields_by_name))
        if _name_of(call.func) == 'note':
            fields |= NOTE_FIELDS
        for event in _events_of(call.args[0]):
            yield LogLine(event, fields, f'{path.name}:{call.lineno}')


def _fields_of(
    call: ast.Call, fields_by_name: Mapping[str, frozenset[str]]
) -> Iterator[str]:
    """Yield the keyword names of a call, including unpacked ones."""
    for keyword in call.keywords:
        unpacked = keyword.value
        if keyword.arg:
            yield keyword.arg
        elif isinstance(unpacked, ast.Call):
            yield from fields_by_name.get(_name_of(unpacked.func), ())
        else:
            yield from fields_by_name.get(_name_of(unpacked), ())


def _events_of(argument: ast.expr) -> Iterator[str]:
    """Yield the event constants that the first argument may refer to."""
    if isinstance(argument, ast.Name) and argument.id.isupper():
        yield argument.id
    if isinstance(argument, ast.IfExp):
        yield from _events_of(argument.body)
        yield from _events_of(argument.orelse)


def _returned_fields(tree: ast.Module) -> dict[str, frozenset[str]]:
    """Return the keys of the dictionary that each function returns."""
    return {
        function.name: _keys_of(node.value)
        for function in ast.walk(tree)
        if isinstance(function, ast.FunctionDef)
        for node in ast.walk(function)
        if isinstance(node, ast.Return) and isinstance(node.value, ast.Dict)
    }


def _assigned_fields(tree: ast.Module) -> dict[str, frozenset[str]]:
    """Return the keys of the dictionary assigned to each variable."""
    return {
        _name_of(node.targets[0]): _keys_of(node.value)
        for node in ast.walk(tree)
        if isinstance(node, ast.Assign) and isinstance(node.value, ast.Dict)
    }


def _keys_of(dictionary: ast.Dict) -> frozenset[str]:
    return frozenset(
        key.value
        for key in dictionary.keys
        if isinstance(key, ast.Constant) and isinstance(key.value, str)
    )


def _name_of(expression: ast.expr) -> str:
    if isinstance(expression, ast.Attribute):
        return expression.attr
    return expression.id if isinstance(expression, ast.Name) else ''
