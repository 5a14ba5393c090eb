#!/usr/bin/env python3
"""Counts what the callers of scripts/demo.sh received and what targets ran.

Usage: demo_count.py REQUESTS ANSWERS_DIR RUNS_DIR

Prints a table and, as its last line, the counts. Exits with 1 if a request
was lost, run twice although it had a key, or answered with another's answer.
"""

import collections
import json
import pathlib
import re
import sys

MASK = (1 << 64) - 1
PRIMES = (0x9E3779B185EBCA87, 0xC2B2AE3D27D4EB4F, 0x165667B19E3779F9,
          0x85EBCA77C2B2AE63, 0x27D4EB2F165667C5)


def rotate(value, bits):
    return ((value << bits) | (value >> (64 - bits))) & MASK


def round_of(lane, word):
    return rotate((lane + word * PRIMES[1]) & MASK, 31) * PRIMES[0] & MASK


def xxh64(data):
    """Returns the XXH64 of `data` with seed 0, as the stand-ins use it."""
    at = 0
    if len(data) >= 32:
        lanes = [(PRIMES[0] + PRIMES[1]) & MASK, PRIMES[1], 0,
                 -PRIMES[0] & MASK]
        while at + 32 <= len(data):
            for i in range(4):
                word = int.from_bytes(data[at + 8 * i:at + 8 * i + 8], 'little')
                lanes[i] = round_of(lanes[i], word)
            at += 32
        value = sum(rotate(lane, bits)
                    for lane, bits in zip(lanes, (1, 7, 12, 18))) & MASK
        for lane in lanes:
            value = ((value ^ round_of(0, lane)) * PRIMES[0] + PRIMES[3]) & MASK
    else:
        value = PRIMES[4]
    value = (value + len(data)) & MASK
    while at + 8 <= len(data):
        value ^= round_of(0, int.from_bytes(data[at:at + 8], 'little'))
        value = (rotate(value, 27) * PRIMES[0] + PRIMES[3]) & MASK
        at += 8
    if at + 4 <= len(data):
        value ^= int.from_bytes(data[at:at + 4], 'little') * PRIMES[0] & MASK
        value = (rotate(value, 23) * PRIMES[1] + PRIMES[2]) & MASK
        at += 4
    for byte in data[at:]:
        value = rotate(value ^ (byte * PRIMES[4] & MASK), 11) * PRIMES[0] & MASK
    value = (value ^ (value >> 33)) * PRIMES[1] & MASK
    value = (value ^ (value >> 29)) * PRIMES[2] & MASK
    return value ^ (value >> 32)


class Request:
    """One line of the requests file."""

    def __init__(self, line):
        fields = [field.strip() for field in line.split('|', 4)]
        self.account, self.key, self.method, self.path, body = fields
        self.body = '' if body == '-' else body
        self.is_model = self.path.startswith('/v1/')
        self.json = json.loads(self.body) if self.is_model else {}
        self.stream = bool(self.json.get('stream'))

    def token_hash(self):
        """Returns the mark that the engine puts into every token."""
        if 'messages' in self.json:
            prompt = ''.join(m['content'] + '\n' for m in self.json['messages'])
        else:
            prompt = self.json['prompt']
        return f'{xxh64(prompt.encode()):016x}'[:8]

    def kind(self):
        name = 'model' if self.is_model else 'app'
        name += ', streamed' if self.stream else ''
        return name + (', keyed' if self.key != '-' else '')


def judge_model(request, body):
    """Returns answered, lost or mixed for a 200 answer of an engine."""
    tokens = re.findall(r'w(\d+)-([0-9a-f]{8})', body)
    if any(mark != request.token_hash() for _, mark in tokens):
        return 'mixed'
    whole = [int(n) for n, _ in tokens] == list(range(request.json['max_tokens']))
    if request.stream:
        whole = whole and body.rstrip().endswith('data: [DONE]')
    return 'answered' if whole else 'lost'


def judge_app(request, body):
    """Returns answered, lost or mixed for a 200 answer of a service."""
    try:
        echo = json.loads(body)
    except json.JSONDecodeError:
        return 'lost'
    path, _, query = request.path.partition('?')
    same = (echo.get('path'), echo.get('query'), echo.get('body')) == (
        path, query, request.body)
    return 'answered' if same else 'mixed'


def judge(request, folder, number):
    """Returns what became of one request, and why."""
    try:
        code, tries = (folder / f'{number}.exit').read_text().split()
        head = (folder / f'{number}.head').read_text()
        body_file = folder / f'{number}.body'
        body = body_file.read_text() if body_file.exists() else ''
    except OSError:
        return 'lost', 'no answer'
    if code != '0' or not head:
        return 'lost', f'curl exit {code} after {tries} tries'
    status = int(head.split()[1])
    if status == 200:
        verdict = (judge_model if request.is_model else judge_app)(request, body)
        return verdict, '' if verdict == 'answered' else 'answer: ' + body[-120:]
    run = re.search(r'(?im)^indigolead-run: *(\S+)', head)
    if not run:
        return 'lost', f'status {status} without Indigolead-Run: ' + body[:120]
    return 'refused', f'{status} {run.group(1)}: ' + body[:160]


def count_runs(folder):
    """Returns how often each key ran, over all targets."""
    runs = collections.Counter()
    for file in folder.iterdir():
        for run in json.loads(file.read_text() or '{"runs":[]}')['runs']:
            if run['idempotency_key']:
                runs[run['idempotency_key']] += 1
    return runs


def main():
    requests_file, answers, runs_folder = map(pathlib.Path, sys.argv[1:4])
    requests = [Request(line) for line in requests_file.read_text().splitlines()
                if not line.startswith('#')]
    runs = count_runs(runs_folder)
    table = collections.defaultdict(collections.Counter)
    for number, request in enumerate(requests):
        verdict, why = judge(request, answers, number)
        row = table[request.kind()]
        row['sent'] += 1
        row[verdict] += 1
        if verdict != 'answered':
            print(f'request {number} ({request.kind()}): {verdict}: {why}')
        if runs[request.key] > 1:
            row['doubled'] += 1
            print(f'request {number}: key {request.key} ran {runs[request.key]} '
                  'times')
        # A refusal that says "not run" must be true.
        if verdict == 'refused' and 'not-run' in why and runs[request.key] > 0:
            row['lost'] += 1
            print(f'request {number}: said not-run, but key {request.key} ran')
    columns = ('sent', 'answered', 'refused', 'lost', 'doubled', 'mixed')
    print(f'{"requests":24}' + ''.join(f'{name:>10}' for name in columns))
    for kind in sorted(table):
        print(f'{kind:24}' + ''.join(f'{table[kind][c]:10}' for c in columns))
    total = {c: sum(row[c] for row in table.values()) for c in columns}
    print('demo: ' + ' '.join(f'{c}={total[c]}' for c in columns))
    sys.exit(0 if total['lost'] + total['doubled'] + total['mixed'] == 0 else 1)


if __name__ == '__main__':
    main()
