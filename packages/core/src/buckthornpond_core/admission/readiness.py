"""Readiness of an agent and its target for new work."""

from .._generated.inventory import Target
from .._generated.messages import TargetPhase
from ..configuration.documents import Configuration
from .limits import TargetLimit


class Readiness:
    """Whether an agent takes new work, by its documents and its target.

    :param instance: name of the agent's instance.
    :param configuration: documents in force.
    :param limit: token limit of the target.
    """

    __slots__ = (
        '_configuration',
        '_instance',
        '_limit',
        'is_stopping',
        'target',
    )

    def __init__(
        self,
        instance: str,
        configuration: Configuration,
        limit: TargetLimit,
    ) -> None:
        self._instance = instance
        self._configuration = configuration
        self._limit = limit
        self.is_stopping = False
        self.target = Target(address='0.0.0.0:0')

    @property
    def phase(self) -> TargetPhase:
        """Return the phase that is reported to entries."""
        if self.is_stopping:
            return TargetPhase.leaving
        if self._configuration.is_draining(self._instance):
            return TargetPhase.draining
        return TargetPhase.cold if self._limit.is_cold else TargetPhase.warm

    def serves(self, service_name: str) -> bool:
        """Tell whether the instance serves a service.

        :param service_name: name of the service.
        """
        service = self._configuration.services.get(service_name)
        return service is not None and self._instance in service.instances

    def apply_configuration(self) -> None:
        """Apply the target of the documents in force."""
        instance = self._configuration.instances.get(self._instance)
        if instance is not None:
            self.target = instance.target
            self._limit.resize(
                instance.target.cold_tokens,
                instance.target.memory_tokens,
                instance.target.warm_up_tokens,
            )
