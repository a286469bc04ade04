"""Cost of the configuration by the size of the inventory."""

import gc
import json
import os
import time
from collections.abc import Callable
from typing import Any

import click

from buckthornpond_core.configuration.documents import Configuration
from buckthornpond_runtime.documents import parse_inventory

from .slopes import fit_costs
from .usage import ProcessUsage

_ZONE_COUNT = 23
_MODEL_COUNT = 6
_INVENTORY_SIZES = (
    (100, 100),
    (1000, 100),
    (3000, 100),
    (10_000, 100),
    (100, 1600),
)
_MS_PER_SECOND = 1000
_EMPTY_INVENTORY = b"""{"version": 1, "availability_zones": [], "instances": [],
"services": [], "organisations": []}"""
_CAUSES = ('instance', 'organisation', 'document')

Measure = Callable[[int, int], dict[str, float]]


def build_inventory(
    instance_count: int,
    organisation_count: int,
) -> dict[str, Any]:
    """Return an inventory of a given size.

    :param instance_count: number of instances, spread over zones and models.
    :param organisation_count: number of organisations.
    """
    names = [f'engine-{number:05}' for number in range(instance_count)]
    return {
        'version': 1,
        'availability_zones': [f'zone-{zone}' for zone in range(_ZONE_COUNT)],
        'instances': [
            {
                'name': name,
                'availability_zone': f'zone-{number % _ZONE_COUNT}',
                'agent_address': f'10.{number >> 8}.{number & 255}.1:7000',
                'target': {'address': f'10.{number >> 8}.{number & 255}.1:80'},
            }
            for number, name in enumerate(names)
        ],
        'services': [
            {
                'name': f'model-{model}',
                'kind': 'engine',
                'instances': names[model::_MODEL_COUNT],
            }
            for model in range(_MODEL_COUNT)
        ],
        'organisations': [
            {
                'name': f'organisation-{number:04}',
                'credential_sha256': f'{number:064x}',
            }
            for number in range(organisation_count)
        ],
    }


def read_configuration_cost(
    instance_count: int,
    organisation_count: int,
) -> dict[str, float]:
    """Return the size, the parse time and the memory of one inventory.

    :param instance_count: number of instances.
    :param organisation_count: number of organisations.
    """
    document = build_inventory(instance_count, organisation_count)
    content = json.dumps(document, separators=(',', ':')).encode()
    document.clear()
    # The first parse loads modules and fills caches that later ones share.
    parse_inventory(_EMPTY_INVENTORY, 'measurement')
    gc.collect()
    before = ProcessUsage(os.getpid())
    configuration = Configuration()
    started_seconds = time.process_time()
    inventory = parse_inventory(content, 'measurement')
    configuration.accept_inventory(inventory, content)
    cpu_seconds = time.process_time() - started_seconds
    gc.collect()
    after = ProcessUsage(os.getpid())
    return {
        'content_bytes': len(content),
        'parse_ms': cpu_seconds * _MS_PER_SECOND,
        'resident_kib': after.resident_kib - before.resident_kib,
    }


def measure_configuration(measure: Measure) -> None:
    """Print the costs of inventories of several sizes and fit their slopes.

    :param measure: measures one size in a separate process.
    """
    click.echo('instances organisations     bytes  parse ms  resident KiB')
    rows = []
    for instances, organisations in _INVENTORY_SIZES:
        cost = measure(instances, organisations)
        rows.append(cost)
        click.echo(
            f'{instances:9} {organisations:13} {cost["content_bytes"]:9.0f} '
            f'{cost["parse_ms"]:9.1f} {cost["resident_kib"]:13.0f}',
        )
    causes = [[*size, 1] for size in _INVENTORY_SIZES]
    for name, unit in (
        ('content_bytes', 'B'),
        ('parse_ms', 'ms'),
        ('resident_kib', 'KiB'),
    ):
        fit = fit_costs(_CAUSES, causes, [row[name] for row in rows])
        click.echo(f'{name}: {fit.render(1, unit)}')
