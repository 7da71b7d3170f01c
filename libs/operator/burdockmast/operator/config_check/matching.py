"""Finds the route of a path with the matcher of gateways.

A gateway's matcher compares a path with all routes of its host. For thousands
of paths, only the routes whose prefix begins the path are given to it.
"""

from typing import Any

from burdockmast.platform import configuration


class Matcher:
    """Finds routes by host and path."""

    def __init__(self, route_by_index: dict[int, dict[str, Any]]):
        """Create a matcher of well-formed routes."""
        self._route_by_index = route_by_index
        self._indexes_by_match: dict[tuple[str, str], list[int]] = {}
        self._first_by_match: dict[tuple[str, str], int] = {}
        for index, route in route_by_index.items():
            match = route['host'], route['path-prefix']
            self._indexes_by_match.setdefault(match, []).append(index)

    def groups(self) -> list[list[int]]:
        """Return the indexes of the routes, by host and prefix."""
        return list(self._indexes_by_match.values())

    def find(self, host: str, path: str) -> int | None:
        """Return the index of the route that a gateway finds."""
        firsts = [
            self._first(host, path[:end])
            for end in range(len(path) + 1)
            if (host, path[:end]) in self._indexes_by_match
        ]
        return self._ask(host, path, sorted(firsts))

    def _first(self, host: str, prefix: str) -> int:
        """Return the route that a gateway finds of those with a prefix."""
        match = host, prefix
        indexes = self._indexes_by_match[match]
        if len(indexes) == 1:
            return indexes[0]
        if match not in self._first_by_match:
            found = self._ask(host, prefix, indexes)
            assert found is not None
            self._first_by_match[match] = found
        return self._first_by_match[match]

    def _ask(self, host: str, path: str, indexes: list[int]) -> int | None:
        """Return which of some routes a gateway finds."""
        routes = [
            {**self._route_by_index[index], 'name': str(index)}
            for index in indexes
        ]
        decoded = configuration.decode(
            configuration.NAME, {'version': 0, 'routes': routes}
        )
        found = decoded.find_route(host, path)
        return None if found is None else int(found.name)
