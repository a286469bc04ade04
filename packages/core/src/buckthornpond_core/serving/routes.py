"""Lookup of routes, credentials and services in a configuration."""

from .._generated.serving import (
    Organisation,
    Route,
    Service,
    ServingConfiguration,
)
from ..types import RandomSource

_SLASH = '/'


class _HostRoutes:
    """Routes of one host by their prefixes.

    A lookup costs the number of different lengths of these, not the length
    of the path.

    :param routes: the routes; of two with one prefix the last one holds.
    """

    __slots__ = ('_by_prefix', '_lengths')

    def __init__(self, routes: list[Route]) -> None:
        self._by_prefix = {
            route.path_prefix: route
            for route in routes
            if route.path_prefix.endswith(_SLASH)
        }
        lengths = {len(prefix) for prefix in self._by_prefix}
        self._lengths = sorted(lengths, reverse=True)

    def find(self, path: str) -> Route | None:
        """Return the route whose prefix is the longest match for a path.

        :param path: path of the request, without a query.
        """
        for length in self._lengths:
            route = self._by_prefix.get(path[:length])
            if route is not None:
                return route
        return None


class RouteTable:
    """Index of the routes, credentials and services of a configuration.

    :param configuration: configuration published by the operators.
    """

    __slots__ = (
        '_hosts',
        '_organisations',
        'configuration',
        'services',
    )

    def __init__(self, configuration: ServingConfiguration) -> None:
        self.configuration = configuration
        self.services: dict[str, Service] = {
            service.name: service for service in configuration.services
        }
        self._organisations = {
            credential: organisation
            for organisation in configuration.organisations
            for credential in organisation.credentials
        }
        routes_by_host: dict[str, list[Route]] = {}
        for route in configuration.routes:
            host_routes = routes_by_host.setdefault(route.host_name.lower(), [])
            host_routes.append(route)
        self._hosts = {
            name: _HostRoutes(routes) for name, routes in routes_by_host.items()
        }

    @property
    def needs_credentials(self) -> bool:
        """Return whether routes that are not public require a credential."""
        return bool(self.configuration.organisations)

    def find(self, host_name: str, path: str) -> Route | None:
        """Return the route whose prefix is the longest match for a path.

        :param host_name: host of the request, with or without a port or the
            dot of a fully qualified name.
        :param path: path of the request, with or without a query.
        """
        name = host_name.partition(':')[0].removesuffix('.')
        host_routes = self._hosts.get(name.lower())
        if host_routes is None:
            return None
        return host_routes.find(path.partition('?')[0])

    def authenticate(self, credential: str) -> Organisation | None:
        """Return the organisation that holds a credential.

        :param credential: credential presented by the caller.
        """
        return self._organisations.get(credential)


def choose_service(route: Route, random: RandomSource) -> str:
    """Return a service of the route, chosen at random by weight.

    :param route: the route of a request.
    :param random: source of random choices.
    """
    total_weight = sum(share.weight for share in route.shares)
    remaining_weight = random.random() * total_weight
    for share in route.shares:
        remaining_weight -= share.weight
        if remaining_weight < 0:
            return share.service
    return route.shares[-1].service if route.shares else ''
