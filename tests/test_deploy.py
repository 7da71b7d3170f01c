"""The deploy file builds all that a gateway imports."""

import pathlib
import re
import tomllib

ROOT = pathlib.Path(__file__).parent.parent
PREFIX = 'burdockmast-'


def libraries_of(name):
    """Return a library and those that it depends on, by their pyprojects."""
    path = ROOT / 'libs' / name / 'pyproject.toml'
    project = tomllib.loads(path.read_text())['project']
    return {name}.union(
        *(
            libraries_of(dependency.removeprefix(PREFIX))
            for dependency in project['dependencies']
            if dependency.startswith(PREFIX)
        )
    )


def test_the_build_copies_all_libraries_of_a_gateway():
    document = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
    copied = set(re.findall(r'libs/(\w+)/burdockmast', document['build']))
    assert copied == libraries_of('platform')
