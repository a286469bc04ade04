"""Configuration in force: validation, indexes and increasing versions."""

from .._generated.inventory import (
    Instance,
    Inventory,
    Organisation,
    Rules,
    Service,
)
from .._generated.messages import ConfigurationVersion, DocumentName
from .acceptance import (
    AcceptanceOrder,
    DocumentStamp,
    HighestVersionOrder,
    digest_content,
)

_UNKNOWN_READ_AGE_MS = 3_600_000


def find_inventory_problems(inventory: Inventory) -> list[str]:
    """Return every broken reference and duplicate name of an inventory.

    The result depends only on the document, so that every process accepts
    or rejects the same versions.

    :param inventory: a document that is valid by the schema.
    """
    problems: list[str] = []
    zones = set(inventory.availability_zones)
    names = [instance.name for instance in inventory.instances]
    problems.extend(_find_duplicates('instances', names))
    problems.extend(
        _find_duplicates(
            'services', [each.name for each in inventory.services]
        ),
    )
    problems.extend(
        _find_duplicates(
            'organisations',
            [each.name for each in inventory.organisations],
        ),
    )
    problems.extend(
        f'instances.{each.name}.availability_zone: '
        f'unknown availability zone {each.availability_zone!r}'
        for each in inventory.instances
        if each.availability_zone not in zones
    )
    known = set(names)
    for service in inventory.services:
        problems.extend(
            f'services.{service.name}.instances: unknown instance {name!r}'
            for name in service.instances
            if name not in known
        )
    problems.extend(_find_serving_former_instances(inventory))
    return problems


def _find_serving_former_instances(inventory: Inventory) -> list[str]:
    addresses = {each.name: each.agent_address for each in inventory.instances}
    serving = {
        (service.name, addresses.get(name))
        for service in inventory.services
        for name in service.instances
    }
    return [
        f'former_instances.{each.name}.agent_address: still serves {service!r}'
        for each in inventory.former_instances
        for service in each.services
        if (service, each.agent_address) in serving
    ]


def find_rules_problems(rules: Rules) -> list[str]:
    """Return every duplicate name in a rules document.

    Names are not checked against the inventory, because both documents
    change independently. An unknown name has no effect.

    :param rules: a document that is valid by the schema.
    """
    return [
        *_find_duplicates('organisation_order', rules.organisation_order),
        *_find_duplicates('draining_instances', rules.draining_instances),
        *_find_duplicates(
            'draining_availability_zones',
            rules.draining_availability_zones,
        ),
    ]


def _find_duplicates(path: str, names: list[str]) -> list[str]:
    seen: set[str] = set()
    problems: list[str] = []
    for name in names:
        if name in seen:
            problems.append(f'{path}: {name!r} occurs more than once')
        seen.add(name)
    return problems


class Configuration:
    """Documents in force, with indexes.

    :param order: policy that decides which document replaces another.
    """

    __slots__ = (
        '_digest',
        '_draining_instances',
        '_draining_zones',
        '_home_instances',
        '_order',
        '_organisations',
        '_weights',
        'contents',
        'instances',
        'inventory',
        'leaving_instances',
        'read_age_ms',
        'rules',
        'services',
        'stamps',
    )

    def __init__(self, order: AcceptanceOrder | None = None) -> None:
        self._order = order or HighestVersionOrder()
        self._digest = 0
        self.inventory = Inventory(
            version=1,
            availability_zones=[],
            instances=[],
            services=[],
            organisations=[],
        )
        self.inventory.version = 0
        self.rules = Rules(version=1)
        self.rules.version = 0
        self.contents: dict[DocumentName, bytes] = {}
        self.stamps = {name: DocumentStamp() for name in DocumentName}
        self.read_age_ms = _UNKNOWN_READ_AGE_MS
        self.instances: dict[str, Instance] = {}
        self.services: dict[str, Service] = {}
        self.leaving_instances: frozenset[str] = frozenset()
        self._organisations: dict[str, Organisation] = {}
        self._weights: dict[str, int] = {}
        self._draining_instances: frozenset[str] = frozenset()
        self._draining_zones: frozenset[str] = frozenset()
        self._home_instances: dict[str, list[str]] = {}

    @property
    def version(self) -> ConfigurationVersion:
        """Versions of the documents in force, and the age of the last read."""
        return ConfigurationVersion(
            inventory_version=self.stamps[DocumentName.inventory].version,
            rules_version=self.stamps[DocumentName.rules].version,
            leaving_version=self.stamps[DocumentName.leaving].version,
            digest=self._digest,
            read_age_ms=self.read_age_ms,
        )

    def is_newer(self, name: DocumentName, stamp: DocumentStamp) -> bool:
        """Return whether a document would replace the one in force.

        :param name: name of the document.
        :param stamp: its version and digest.
        """
        return self._order.is_newer(stamp, self.stamps[name])

    def accept_inventory(self, inventory: Inventory, content: bytes) -> bool:
        """Put a valid inventory in force if it is newer.

        :param inventory: the decoded and validated document.
        :param content: its JSON text, for peers that request it.
        """
        if not self._accept(DocumentName.inventory, inventory.version, content):
            return False
        self.inventory = inventory
        self.instances = {each.name: each for each in inventory.instances}
        self.services = {each.name: each for each in inventory.services}
        self._organisations = {
            each.credential_sha256: each for each in inventory.organisations
        }
        self._weights = {
            each.name: each.weight for each in inventory.organisations
        }
        self._index_home_instances()
        return True

    def accept_rules(self, rules: Rules, content: bytes) -> bool:
        """Put valid rules in force if they are newer.

        :param rules: the decoded and validated document.
        :param content: its JSON text, for peers that request it.
        """
        if not self._accept(DocumentName.rules, rules.version, content):
            return False
        self.rules = rules
        self._draining_instances = frozenset(rules.draining_instances)
        self._draining_zones = frozenset(rules.draining_availability_zones)
        self._index_home_instances()
        return True

    def accept_leaving(
        self,
        names: list[str],
        version: int,
        content: bytes,
    ) -> bool:
        """Put the list of leaving instances in force if it is newer.

        :param names: instances that the platform is removing.
        :param version: version that the reader of the list assigned.
        :param content: its JSON text, for peers that request it.
        """
        if not self._accept(DocumentName.leaving, version, content):
            return False
        self.leaving_instances = frozenset(names)
        return True

    def find_organisation(self, credential_sha256: str) -> Organisation | None:
        """Return the organisation that owns a credential.

        :param credential_sha256: digest of the credential, in hexadecimal.
        """
        return self._organisations.get(credential_sha256)

    def find_weight(self, organisation_name: str) -> int:
        """Return the weight of an organisation, or 1 if it is unknown.

        :param organisation_name: its name in the inventory.
        """
        return self._weights.get(organisation_name, 1)

    def is_draining(self, instance_name: str) -> bool:
        """Return whether an instance is draining, leaving or unknown.

        :param instance_name: name of the instance in the inventory.
        """
        instance = self.instances.get(instance_name)
        if instance is None:
            return True
        return (
            instance_name in self._draining_instances
            or instance_name in self.leaving_instances
            or instance.availability_zone in self._draining_zones
        )

    def find_home_instances(self, service: Service) -> list[str]:
        """Return the instances that may be homes of a service's keys.

        The result depends only on versioned documents, so that processes
        with the same versions agree.

        :param service: a service of the inventory in force.
        """
        return self._home_instances.get(service.name, [])

    def is_behind(self, version: ConfigurationVersion) -> bool:
        """Return whether a peer has a higher version of any document.

        :param version: the versions in force at the peer.
        """
        return any(
            version_of(version, name) > stamp.version
            for name, stamp in self.stamps.items()
        )

    def _index_home_instances(self) -> None:
        self._home_instances = {
            service.name: [
                name
                for name in service.instances
                if name not in self._draining_instances
                and self.instances[name].availability_zone
                not in self._draining_zones
            ]
            for service in self.inventory.services
        }

    def _accept(
        self,
        name: DocumentName,
        version: int,
        content: bytes,
    ) -> bool:
        stamp = DocumentStamp(version, digest_content(content))
        if not self.is_newer(name, stamp):
            return False
        self.contents[name] = content
        self.stamps[name] = stamp
        digests = ','.join(str(each.digest) for each in self.stamps.values())
        self._digest = digest_content(digests.encode())
        return True


def version_of(version: ConfigurationVersion, name: DocumentName) -> int:
    """Return the version of one document.

    :param version: the versions in force at a process.
    :param name: name of the document.
    """
    if name is DocumentName.inventory:
        return version.inventory_version
    if name is DocumentName.rules:
        return version.rules_version
    return version.leaving_version
