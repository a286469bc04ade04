"""Lookup of routes, credentials and services in a configuration."""

from .._generated.serving import (
    Organisation,
    Route,
    Service,
    ServingConfiguration,
)
from ..types import RandomSource

_SLASH = '/'


class RouteTable:
    """Index of the routes, credentials and services of a configuration.

    :param configuration: configuration published by the operators.
    """

    __slots__ = (
        '_organisations',
        '_routes',
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
        self._routes: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            host_routes = self._routes.setdefault(route.host_name.lower(), {})
            host_routes[route.path_prefix] = route

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
        host_routes = self._routes.get(name.lower())
        if not host_routes:
            return None
        prefix = path.partition('?')[0]
        end = prefix.rfind(_SLASH)
        while end >= 0:
            route = host_routes.get(prefix[: end + 1])
            if route is not None:
                return route
            end = prefix.rfind(_SLASH, 0, end)
        return None

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
