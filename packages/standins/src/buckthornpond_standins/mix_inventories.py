"""Inventories for the simulated mixes."""

from buckthornpond_core._generated.inventory import (
    Instance,
    Inventory,
    Organisation,
    Service,
    Target,
    TargetKind,
)

from .engine import EngineCosts
from .mixes import Mix, organisation_names

_ZONE_COUNT = 3


def build_inventory(mix: Mix, costs: EngineCosts) -> Inventory:
    """Return an inventory with the engines and organisations of a mix.

    :param mix: fleet and callers.
    :param costs: memory and warm-up of the engines.
    """
    instances = [
        Instance(
            name=f'engine-{number}',
            availability_zone=f'zone-{number % _ZONE_COUNT}',
            agent_address='127.0.0.1:1',
            target=Target(
                address='127.0.0.1:1',
                memory_tokens=costs.memory_tokens,
                cold_tokens=costs.cold_tokens,
                warm_up_tokens=costs.warm_up_tokens,
            ),
        )
        for number in range(mix.target_count)
    ]
    return Inventory(
        version=1,
        availability_zones=[f'zone-{each}' for each in range(_ZONE_COUNT)],
        instances=instances,
        services=[
            Service(
                name='model-a',
                kind=TargetKind.engine,
                instances=[each.name for each in instances],
            ),
        ],
        organisations=[
            Organisation(name=name, credential_sha256='0' * 64)
            for name in organisation_names()
        ],
    )
