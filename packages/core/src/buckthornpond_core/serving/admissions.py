"""Requests that the configuration allows."""

from .._generated.serving import Organisation, RequestMetadata, Route
from .request_identity import identify_request

# Bounds what a request leaves as evidence of a crash, and tells of it.
_MAX_SUSPECT_PARTS = 16
_MAX_PART_CHARACTERS = 64


class AdmittedRequest:
    """Request that the configuration allows.

    :param metadata: properties that the caller's request states.
    :param route: route that matches host and path.
    :param organisation: owner of the credential, or ``None`` on a public
        route and where no credentials are required.
    :param service: service chosen among the shares of the route.
    """

    __slots__ = ('identity', 'metadata', 'organisation', 'route', 'service')

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

    @property
    def suspect_parts(self) -> list[str]:
        """Return what is suspected if a target crashes with the request.

        These are the last prompt parts that other requests may hold too, and
        the identity of the request where it is known.
        """
        identity = [self.identity] if self.identity else []
        parts = self.metadata.shared_parts[-_MAX_SUSPECT_PARTS:]
        short_parts = [
            part for part in parts if len(part) <= _MAX_PART_CHARACTERS
        ]
        return [*short_parts, *identity]
