"""Routes map host, path and method to a service, or to several services by weight."""

import re
from collections.abc import Iterable, Iterator, Mapping
from typing import Any, NamedTuple

from roadpass.label import Labels

ANY_HOST = "*"
_PORT = re.compile(r":[0-9]*\Z")


class Part(NamedTuple):
    """The part of a route's traffic that a service gets; weights are relative to each other."""

    service: str
    weight: float


class Route(NamedTuple):
    """One route; `timeout_ms` is `None` if the value of the service applies.

    Args:
        service: Where its requests go, or the first service of the split.
        split: Services with weights, empty if all requests go to `service`.
        max_attempts: Most targets that one request may be sent to, `None` for no limit.
        target_latency_ms: Latency objective, `None` if none is configured.
        public: Whether its requests need no API key even if customers are configured.
        upload: Whether its requests have large bodies; they are never repeated.
    """

    name: str
    host: str
    path: str
    methods: frozenset[str]
    service: str
    traffic_class: str | None
    repeatable: bool
    labels: Labels
    timeout_ms: int | None
    split: tuple[Part, ...] = ()
    max_attempts: int | None = None
    target_latency_ms: int | None = None
    public: bool = False
    upload: bool = False

    @property
    def parts(self) -> tuple[Part, ...]:
        """The services that may get its requests, with their weights."""
        return self.split or (Part(self.service, 1.0),)

    @classmethod
    def from_config(cls, name: str, value: Any) -> "Route":
        """Build a route from its validated configuration."""
        return cls(
            name=name,
            host=value.get("host", ANY_HOST).lower(),
            path=value["path"],
            methods=frozenset(value.get("methods", ())),
            service=value["service"],
            traffic_class=value.get("class"),
            repeatable=value.get("repeatable", False),
            labels=value.get("labels", {}),
            timeout_ms=value.get("timeout_ms"),
            split=_split(value.get("split", {})),
            max_attempts=value.get("max_attempts"),
            target_latency_ms=value.get("target_latency_ms"),
            public=value.get("public", False),
            upload=value.get("upload", False),
        )


class RouteTable:
    """Finds the most specific route: exact host first, then the longest path prefix.

    A prefix that ends with a slash matches the paths that it begins: `/opac/` matches `/opac/x` and
    `/opac/`, not `/opac`. One without matches whole path segments: `/opac` matches `/opac` and
    `/opac/x`, not `/opacity`. Paths are compared as they are sent; nothing is decoded or resolved.
    Among routes with the same prefix, those that name methods take precedence over those for any
    method.
    """

    def __init__(self, routes: Iterable[Route]) -> None:
        self._by_host: dict[str, dict[str, list[Route]]] = {}
        for route in sorted(routes, key=lambda route: (not route.methods, route.name)):
            prefixes = self._by_host.setdefault(route.host, {})
            prefixes.setdefault(route.path, []).append(route)

    def find(self, host: str, path: str, method: str) -> Route | None:
        """Return the route of a request, `None` if no route matches.

        Args:
            host: Host name of the request, with or without port.
            path: Path, with or without query.
            method: HTTP method in capitals.
        """
        name = _PORT.sub("", host).lower()
        plain = path.partition("?")[0]
        for prefixes in (self._by_host.get(name), self._by_host.get(ANY_HOST)):
            if prefixes is None:
                continue
            found = _longest(prefixes, plain, method)
            if found is not None:
                return found
        return None


def _split(value: Mapping[str, float]) -> tuple[Part, ...]:
    return tuple(Part(service, weight) for service, weight in value.items() if weight > 0.0)


def _longest(prefixes: Mapping[str, list[Route]], path: str, method: str) -> Route | None:
    for prefix in _prefixes(path):
        for route in prefixes.get(prefix, ()):
            if not route.methods or method in route.methods:
                return route
    return None


def _prefixes(path: str) -> Iterator[str]:
    """Yield all prefixes that match a path, the longest first."""
    yield path
    end = len(path)
    while (end := path.rfind("/", 0, end)) >= 0:
        yield path[: end + 1]
        yield path[:end]
