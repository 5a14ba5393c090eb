"""Rewrites the generated part of docs/CAPACITY.md from bench output.

Usage: capacity_figures.py BENCH_OUTPUT CAPACITY_PAGE
"""

import re
import sys

SIDES = 5000
ENTRIES = 420
REGIONS = 5
LIMIT_CPU_PERCENT = 1.2
LIMIT_KB_PER_S = 12.0
LIMIT_MB = 256.0
BEGIN = "<!-- figures: begin -->"
END = "<!-- figures: end -->"


def read_figures(path):
    """Returns the values of the lines "figure NAME VALUE"."""
    with open(path, encoding="utf-8") as lines:
        found = re.findall(r"^figure (\S+) (\S+)$", lines.read(), re.MULTILINE)
    return {name: float(value) for name, value in found}


def verdict(value, limit):
    return "fits" if value <= limit else "**does not fit**"


def role_rows(figures, role, links):
    """Returns the table rows of one role with this many links."""
    rows = []
    for kind in ("idle", "busy"):
        slope = {
            name: figures[f"peer_{kind}_{name}"]
            for name in (
                "cpu_percent",
                "messages_per_s",
                "payload_bytes_per_s",
                "wire_bytes_per_s",
                "resident_kb",
            )
        }
        cpu = slope["cpu_percent"] * links
        payload = slope["payload_bytes_per_s"] * links / 1000
        wire = slope["wire_bytes_per_s"] * links / 1000
        memory = slope["resident_kb"] * links / 1000
        rows.append(
            f"| {role} | {links:.0f} | {kind} "
            f"| {slope['messages_per_s'] * links:.0f} "
            f"| {payload:.1f} ({verdict(payload, LIMIT_KB_PER_S)}) "
            f"| {wire:.1f} ({verdict(wire, LIMIT_KB_PER_S)}) "
            f"| {cpu:.2f} ({verdict(cpu, LIMIT_CPU_PERCENT)}) "
            f"| {memory:.1f} ({verdict(memory, LIMIT_MB)}) |"
        )
    return rows


def make_page_part(figures):
    lines = [
        BEGIN,
        "",
        "Links of each role at the two-year size, from the slopes below.",
        "",
        "| role | links | state | messages/s | control KB/s, payload "
        "| control KB/s, with packet headers | CPU % of a core | memory MB |",
        "| --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for chosen in (1, 2):
        per_side = chosen * REGIONS
        lines += role_rows(
            figures,
            f"entry, entries_per_region={chosen}",
            SIDES * per_side / ENTRIES + 2 * chosen * REGIONS,
        )
        lines += role_rows(
            figures, f"side, entries_per_region={chosen}", per_side
        )
    lines += ["", "Measured:", "", "| figure | value |", "| --- | --- |"]
    lines += [f"| {name} | {value:g} |" for name, value in figures.items()]
    lines += ["", END]
    return "\n".join(lines)


def main():
    figures = read_figures(sys.argv[1])
    with open(sys.argv[2], encoding="utf-8") as page:
        text = page.read()
    before, rest = text.split(BEGIN, 1)
    _, after = rest.split(END, 1)
    with open(sys.argv[2], "w", encoding="utf-8") as page:
        page.write(before + make_page_part(figures) + after)


if __name__ == "__main__":
    main()
