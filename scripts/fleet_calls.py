#!/usr/bin/env python3
"""Makes a table of what the entries of a fleet asked of the store.

Usage: scripts/fleet_calls.py LOG...

Reads the structured logs of entries, one or many to a file, with or without a
prefix that names the process. Prints, by kind of call, the calls of an entry in
a minute: of those that relay the store's changes to others, of the holder of the
control lease, and of all others. Entries are told apart by what the lines
"watch-relay-changed" and "lease-gained" say of them.
"""

import collections
import re
import sys

LINE = re.compile(r'\b(\w+)/(\S+) (\d{4}) ([a-z-]+)(.*)')
FIELD = re.compile(r'([\w.]+)=(\S+)')


class Entry:
    """What the lines of one entry add up to."""

    def __init__(self):
        self.seconds = 0.0
        self.calls = collections.Counter()
        self.relays = False
        self.holds = False


def read(paths):
    """Returns the entries by name, and how many lines were read."""
    entries = collections.defaultdict(Entry)
    lines = 0
    for path in paths:
        with open(path, encoding='utf-8', errors='replace') as log:
            for text in log:
                found = LINE.search(text)
                if found:
                    lines += 1
                    take(entries, found.group(2), found.group(4),
                         dict(FIELD.findall(found.group(5))))
    return entries, lines


def take(entries, name, event, fields):
    """Adds one line to what is known of the entry `name`."""
    entry = entries[name]
    if event == 'store-calls':
        entry.seconds += float(fields.pop('seconds', 0))
        for kind, calls in fields.items():
            entry.calls[kind] += int(calls)
    elif event == 'watch-relay-changed':
        entry.relays = entry.relays or fields.get('relay') == name
    elif event == 'lease-gained':
        entry.holds = True


def rates(entries):
    """Returns the calls of one entry in a minute, by kind."""
    seconds = sum(it.seconds for it in entries)
    calls = sum((it.calls for it in entries), collections.Counter())
    return {kind: 60 * n / seconds for kind, n in calls.items()} if seconds else {}


def main(paths):
    if not paths:
        sys.exit('fleet_calls.py: expected the path of a log')
    entries, lines = read(paths)
    groups = {
        'relays': [it for it in entries.values() if it.relays],
        'holds the lease': [it for it in entries.values() if it.holds],
        'others': [it for it in entries.values()
                   if not it.relays and not it.holds],
    }
    if not any(it.seconds for it in entries.values()):
        sys.exit(f'fleet_calls.py: no line "store-calls" among {lines} lines')
    by_group = {name: rates(them) for name, them in groups.items()}
    kinds = sorted({kind for it in by_group.values() for kind in it})
    heads = [f'{name} ({len(groups[name])})' for name in groups]
    print('| calls in a minute | ' + ' | '.join(heads) + ' |')
    print('| --- |' + ' ---: |' * len(heads))
    for kind in kinds:
        cells = [f'{by_group[name].get(kind, 0):.1f}' for name in groups]
        print(f'| {kind} | ' + ' | '.join(cells) + ' |')
    totals = [f'{sum(by_group[name].values()):.1f}' for name in groups]
    print('| all | ' + ' | '.join(totals) + ' |')


if __name__ == '__main__':
    main(sys.argv[1:])
