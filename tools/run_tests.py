"""Runs each feature file in its own process and summarises the results."""

import json
import os
import subprocess
import sys
import tempfile
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

_ROOT = Path(__file__).resolve().parent.parent
_WORKER_COUNT = 4
_KNOWN_RED_PREFIX = 'test: '
_COUNT_PREFIX = 'count: '
# Tag of features that run one at a time, beside no other one.
_ALONE_TAG = '@alone'


class FeatureResult:
    """Passed and failed scenarios of one feature file."""

    __slots__ = ('failed', 'output', 'passed')

    def __init__(self, output: str) -> None:
        self.output = output
        self.passed: list[str] = []
        self.failed: list[str] = []


def read_known_red() -> set[str]:
    """Return the scenarios that KNOWN-RED.txt lists as failing."""
    path = _ROOT / 'KNOWN-RED.txt'
    if not path.exists():
        return set()
    return {
        line.removeprefix(_KNOWN_RED_PREFIX).strip()
        for line in path.read_text().splitlines()
        if line.startswith(_KNOWN_RED_PREFIX)
    }


def run_feature(path: Path) -> FeatureResult:
    """Run one feature file and return its results.

    :param path: feature file.
    """
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / 'report.json'
        command = [
            sys.executable,
            '-m',
            'behave',
            '--no-color',
            '--format=json',
            f'--outfile={report}',
            '--format=progress2',
            str(path),
        ]
        completed = subprocess.run(
            command,
            cwd=_ROOT,
            stdin=subprocess.DEVNULL,
            capture_output=True,
            text=True,
            check=False,
            env={**os.environ, 'PYTHONHASHSEED': '0'},
        )
        result = FeatureResult(completed.stdout + completed.stderr)
        text = report.read_text() if report.exists() else ''
    _add_scenarios(result, text)
    if completed.returncode and not result.failed:
        result.failed.append(f'{path.stem}: behave exit {completed.returncode}')
    return result


def _add_scenarios(result: FeatureResult, text: str) -> None:
    try:
        features = json.loads(text)
    except json.JSONDecodeError:
        return
    for feature in features:
        for element in feature.get('elements', []):
            if element['type'] == 'background':
                continue
            # The name of an unnamed example ends with a space.
            name = f'{feature["name"]}: {element["name"]}'.strip()
            has_passed = element.get('status') == 'passed'
            (result.passed if has_passed else result.failed).append(name)


def find_features(names: Iterable[str]) -> list[Path]:
    """Return the feature files to run.

    :param names: substrings of file names; empty for all files.
    """
    name_parts = list(names)
    return [
        path
        for path in sorted((_ROOT / 'features').glob('*.feature'))
        if not name_parts or any(name in path.name for name in name_parts)
    ]


def run_features(paths: list[Path]) -> list[FeatureResult]:
    """Run some features at once, then those that are to run alone.

    :param paths: feature files.
    """
    alone = [each for each in paths if each.read_text().startswith(_ALONE_TAG)]
    others = [each for each in paths if each not in alone]
    with ThreadPoolExecutor(_WORKER_COUNT) as pool:
        results = list(pool.map(run_feature, others))
    return [*results, *map(run_feature, alone)]


def _print_output(result: FeatureResult) -> None:
    if result.failed:
        print(result.output)
        return
    for line in result.output.splitlines():
        if line.startswith(_COUNT_PREFIX):
            print(line)


def main() -> int:
    """Run the features that the command line selects, or all.

    Return the exit code: 1 if a scenario failed that is not known to fail,
    or if none passed.
    """
    known_red = read_known_red()
    paths = find_features(sys.argv[1:])
    results = run_features(paths)
    passed = [name for result in results for name in result.passed]
    failed = [name for result in results for name in result.failed]
    for result in results:
        _print_output(result)
    red = [name for name in failed if name in known_red]
    unexpected = [name for name in failed if name not in known_red]
    for name in red:
        print(f'known red: {name}')
    for name in unexpected:
        print(f'failed: {name}')
    print(f'{len(passed)} passed, {len(unexpected)} failed')
    return 1 if unexpected or not passed else 0


if __name__ == '__main__':
    sys.exit(main())
