"""Entry processes, started with the command of the deploy file."""

import asyncio
import json
import os
import signal
import subprocess
import tempfile
import tomllib
from pathlib import Path
from typing import Any

from .messages import read_message, render

ROOT = Path(__file__).resolve().parents[3]
ZONES = ('damietta', 'rosetta', 'port-said')


class Entry:
    """One entry process.

    :param number: number of the entry, from 0.
    :param host: its loopback address.
    :param store_address: address of the store.
    :param seeds: addresses of all entries with the port for control.
    :param ports: ports for callers, readiness, control and internal use.
    """

    def __init__(
        self,
        number: int,
        host: str,
        store_address: str,
        seeds: list[str],
        ports: tuple[int, int, int, int],
    ) -> None:
        frontend, ready, control, internal = ports
        self.host = host
        self.address = f'{host}:{frontend}'
        self.ready_address = f'{host}:{ready}'
        self.process: subprocess.Popen[bytes] | None = None
        self.folder = tempfile.TemporaryDirectory()
        self._settings_path = Path(self.folder.name) / 'local.yaml'
        self.log_path = Path(self.folder.name) / 'log'
        self.settings: dict[str, Any] = {
            'nodeName': f'edge-{ZONES[number % 3]}-{number}',
            'role': 'entry',
            'machineClass': 'edge',
            'serves': ['edge', 'control'],
            'ip': host,
            'zone': ZONES[number % 3],
            'region': 'delta-north',
            'zones': {zone: 'delta-north' for zone in ZONES},
            'listen': {
                'frontend': self.address,
                'ready': self.ready_address,
                'controlPlane': f'{host}:{control}',
            },
            'internalPorts': [internal, internal + 15],
            'seeds': seeds,
            'bootstrap': True,
            'lossCounts': False,
            'limits': {
                'cpuShare': 0.817,
                'cores': 1,
                'memoryMb': 300,
                'maxFds': 4200,
                'linkMbps': 1000.0,
                'diskMb': 0,
            },
            'dataDir': None,
            'discovery': 'platform',
            'entry': 'vip',
            'heartbeatMs': 1200,
            'bounds': {
                'reuseAfterS': 2,
                'stabilityWindowMs': 3000,
                'ackMs': 4000,
                'drainMs': 2000,
                'graceS': 8,
                'lossSlackMs': 200,
                'configApplyMs': 2000,
                'downgradeSlackMs': 250,
                'maxExtensionMs': 5000,
                'strictRevocation': False,
                'revokeMs': 5000,
                'retryBudgetRatio': 0.2,
                'budgetWindowS': 10,
                'retryAllowance': 100,
                'coldBurstFactor': 1.5,
                'coldAllowance': 5,
                'evacuateMs': 5000,
            },
            'platform': {
                'address': store_address,
                'form': 'read',
                'readsPerS': 2000,
                'historyS': 20,
            },
        }

    def start(self) -> None:
        """Start the process as the platform does."""
        # JSON is YAML.
        self._settings_path.write_text(json.dumps(self.settings))
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        words = deploy['roles']['entry']['run'].split(' ')
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        environment['BUCKTHORNPOND_CONFIG'] = str(self._settings_path)
        with self.log_path.open('ab') as log:
            self.process = subprocess.Popen(
                words,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def send_signal(self, number: int) -> None:
        """Send a signal to the process.

        :param number: the signal.
        """
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def stop(self) -> None:
        """Kill the process and remove its folder."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()
        self.folder.cleanup()

    def read_memory(self) -> int:
        """Return the resident memory of the process in bytes, 0 if it ended."""
        if self.process is None:
            return 0
        path = Path(f'/proc/{self.process.pid}/status')
        try:
            lines = path.read_text().splitlines()
        except OSError:
            return 0
        found = [line for line in lines if line.startswith('VmRSS:')]
        return int(found[0].split()[1]) * 1024 if found else 0

    async def is_ready(self) -> bool:
        """Return whether the readiness check is answered with 200."""
        host, _, port = self.ready_address.rpartition(':')
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(host, int(port)), 1
            )
        except (OSError, TimeoutError):
            return False
        try:
            writer.write(render('GET /readyz HTTP/1.1', {'Host': host}))
            answer = await asyncio.wait_for(read_message(reader), 1)
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()
        return answer is not None and ' 200 ' in answer.first_line
