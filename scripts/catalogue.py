#!/usr/bin/env python3
"""Writes docs/EVENTS.md and docs/METRICS.md from the source files.

Usage: scripts/catalogue.py [--check]

With --check writes nothing and exits with 1 if a page differs from what the
sources say, or if two events share a number.
"""

import collections
import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
STRINGS = r'((?:"(?:[^"\\]|\\.)*"\s*)+)'
EVENT = re.compile(
    r'inline constexpr EventInfo (k\w+)\s*\{\s*(\d+)\s*,\s*' + STRINGS +
    r',\s*EventSeverity::k(\w+)\s*,\s*' + STRINGS + r',?\s*\}')
METRIC = re.compile(
    r'(?:\.|->)\s*Add(Counter|Gauge|Summary|Histogram)\(\s*' + STRINGS + r',\s*' +
    STRINGS)
TYPES = {'Counter': 'counter', 'Gauge': 'gauge', 'Summary': 'summary',
         'Histogram': 'histogram'}
FAMILIES = {1: 'Entry', 2: 'Side', 3: 'Platform', 4: 'Control',
            5: 'Links and membership', 6: 'Claims',
            7: 'Command line and settings', 8: 'Routing'}


def joined(literals):
    """Returns adjacent C++ string literals as one text."""
    parts = re.findall(r'"((?:[^"\\]|\\.)*)"', literals)
    return ''.join(parts).replace('\\"', '"').replace('|', '\\|')


def sources(pattern):
    return sorted(ROOT.glob(pattern))


def read_events():
    """Returns (number, name, severity, meaning) of every event in src/."""
    events = []
    for path in sources('src/**/*.h') + sources('platform/*.h'):
        for match in EVENT.finditer(path.read_text()):
            events.append((int(match.group(2)), joined(match.group(3)),
                           match.group(4).lower(), joined(match.group(5))))
    return sorted(events)


def read_metrics():
    """Returns (name, type, help) of every metric in src/, each once."""
    metrics = set()
    for path in sources('src/**/*.cc') + sources('platform/*.cc'):
        for match in METRIC.finditer(path.read_text()):
            metrics.add((joined(match.group(2)), TYPES[match.group(1)],
                         joined(match.group(3))))
    return sorted(metrics)


def events_page(events):
    lines = ['# Events', '',
             'Every numbered event that the processes log, from the',
             '`events.h` of each folder. Written by `scripts/catalogue.py`.']
    families = collections.defaultdict(list)
    for event in events:
        families[event[0] // 1000].append(event)
    for family in sorted(families):
        lines += ['', f'## {FAMILIES.get(family, "Others")}', '',
                  '| number | name | severity | meaning |',
                  '| --- | --- | --- | --- |']
        lines += [f'| {number} | `{name}` | {severity} | {meaning} |'
                  for number, name, severity, meaning in families[family]]
    return '\n'.join(lines) + '\n'


def metrics_page(metrics):
    lines = ['# Metrics', '',
             'Every metric at `GET /metrics` (Prometheus text). Written by',
             '`scripts/catalogue.py`.', '',
             '| name | type | meaning |', '| --- | --- | --- |']
    lines += [f'| `{name}` | {kind} | {text} |' for name, kind, text in metrics]
    return '\n'.join(lines) + '\n'


def main():
    check = '--check' in sys.argv[1:]
    events = read_events()
    numbers = collections.Counter(event[0] for event in events)
    shared = [number for number, count in numbers.items() if count > 1]
    for number in shared:
        print(f'catalogue: two events have number {number}', file=sys.stderr)
    failed = bool(shared)
    for name, page in (('EVENTS.md', events_page(events)),
                       ('METRICS.md', metrics_page(read_metrics()))):
        path = ROOT / 'docs' / name
        if not check:
            path.write_text(page)
        elif not path.exists() or path.read_text() != page:
            print(f'catalogue: docs/{name} differs from the sources; run '
                  'scripts/catalogue.py', file=sys.stderr)
            failed = True
    sys.exit(1 if failed else 0)


if __name__ == '__main__':
    main()
