"""The configuration that the operator writes in a soak run."""

from typing import Any

COMMON = {
    'host': 'calls.example',
    'timeout_ms': 4000,
    'slo_ms': 1000,
    'service': 'plain',
}
STREAM = {
    **COMMON,
    'service': 'model',
    'kind': 'streaming',
    'max_attempts': 4,
    'sizes': ['m0', 'm1'],
}
SAFE = {**COMMON, 'kind': 'safe', 'max_attempts': 3}
UNSAFE = {**COMMON, 'kind': 'unsafe', 'max_attempts': 2}


def make_configuration(
    version: int, extra_keys: list[str], extra_routes: int
) -> dict[str, Any]:
    """Return a version with API keys besides the permanent one.

    Extra routes only make it longer.
    """
    extra_names = [f'extra-{number}' for number in range(extra_routes)]
    return {
        'version': version,
        'routes': [
            _named('safe', SAFE),
            _named('unsafe', UNSAFE),
            _named('stream', {**STREAM, 'can_resume': True}),
            _named('once', {**STREAM, 'can_resume': False}),
            *(_named(name, SAFE) for name in extra_names),
        ],
        'services': [{'name': 'plain'}, {'name': 'model'}],
        'tenants': [{'name': 'w', 'api_keys': ['kept', *extra_keys]}],
    }


def _named(name: str, route: dict[str, Any]) -> dict[str, Any]:
    """Return a route whose path prefix is its name."""
    return {**route, 'name': name, 'path_prefix': f'/{name}/'}
