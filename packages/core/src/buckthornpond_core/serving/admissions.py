"""Requests that the configuration allows."""

from .._generated.serving import Organisation, RequestMetadata, Route
from .request_identity import identify_request
from .suspect_parts import name_parts


class AdmittedRequest:
    """Request that the configuration allows.

    :param metadata: properties that the caller's request states.
    :param route: route that matches host and path.
    :param organisation: owner of the credential, or ``None`` on a public
        route and where no credentials are required.
    :param service: service chosen among the shares of the route.
    """

    __slots__ = (
        'identity',
        'metadata',
        'organisation',
        'route',
        'service',
        'suspect_parts',
    )

    def __init__(
        self,
        metadata: RequestMetadata,
        route: Route,
        organisation: Organisation | None,
        service: str,
    ) -> None:
        self.metadata = metadata
        self.route = route
        self.organisation = organisation
        self.service = service
        # Shared with the requests that differ only in their ID.
        self.identity = identify_request(
            metadata, organisation.name if organisation else ''
        )
        # Suspected if a target crashes with the request: the prompt parts that
        # other requests may hold too, and its identity where it is known.
        self.suspect_parts = name_parts(metadata.shared_parts)
        if self.identity:
            self.suspect_parts.append(self.identity)
