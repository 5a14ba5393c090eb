"""Runs every trace under every policy; writes docs/RESULTS.md and plots."""

import json
import pathlib
import subprocess
import sys

TRACES = sorted(pathlib.Path("traces").glob("*.trace"))
BASELINES = ["random", "round-robin", "least-reported", "prefix-hash",
             "static-roles", "threshold-roles", "all-mixed"]
ABLATIONS = ["no-correction", "no-cache", "no-outliers", "no-randomness",
             "no-early-refusal", "no-gate", "no-retries"]
PLOTTED = ["day_curve", "swing", "overload_2x"]
DETAILS = [
    ("good req/s", "good_requests_per_s", "{:.2f}"),
    ("good tok/s", "good_tokens_per_s", "{:.0f}"),
    ("of bound", "bound_share", "{:.1%}"),
    ("TTFT p50 s", "ttft_p50_s", "{:.2f}"),
    ("p95", "ttft_p95_s", "{:.2f}"),
    ("p99", "ttft_p99_s", "{:.2f}"),
    ("TBT p95 s", "tbt_p95_s", "{:.3f}"),
    ("refused", "refused", "{:.0f}"),
    ("wrongly", "wrongly_refused", "{:.0f}"),
    ("late", "late", "{:.0f}"),
    ("failed", "failed", "{:.0f}"),
    ("urgent in time", "urgent_in_time_share", "{:.1%}"),
    ("role changes", "role_changes", "{:.0f}"),
    ("engine-s lost", "engine_seconds_lost", "{:.0f}"),
    ("cache hits", "cache_hit_share", "{:.1%}"),
    ("amplification", "amplification", "{:.3f}"),
    ("fairness", "fairness", "{:.3f}"),
]
SMOOTH = 10  # Seconds averaged in a plot.


def run(program, trace, policy):
    """Returns the outcome; an outcome that was not met still prints one."""
    done = subprocess.run(
        [program, "replay", str(trace), policy, "--output=json"],
        stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True,
        timeout=120, check=False)
    if not done.stdout:
        sys.exit(f"{trace} {policy}: {done.stderr}")
    outcome = json.loads(done.stdout)
    outcome["met"] = done.returncode == 0
    return outcome


def table(head, rows):
    lines = ["| " + " | ".join(head) + " |",
             "| --- |" + " ---: |" * (len(head) - 1)]
    lines += ["| " + " | ".join(row) + " |" for row in rows]
    return "\n".join(lines) + "\n"


def details(outcomes):
    head = ["trace"] + [name for name, _, _ in DETAILS] + ["outcome met"]
    rows = []
    for trace, by_policy in outcomes.items():
        own = by_policy["own"]
        rows.append([trace] +
                    [form.format(own["metrics"][key])
                     for _, key, form in DETAILS] +
                    ["yes" if own["met"] else "NO"])
    return table(head, rows)


def comparison(outcomes, policies):
    head = ["trace", "bound", "own"] + policies
    rows = []
    for trace, by_policy in outcomes.items():
        own = by_policy["own"]["metrics"]
        row = [trace, f"{own['bound_requests_per_s']:.2f}",
               f"{own['good_requests_per_s']:.2f}"]
        for it in policies:
            value = by_policy[it]["metrics"]["good_requests_per_s"]
            share = own["good_requests_per_s"] / value - 1 if value else 0
            row.append(f"{value:.2f} ({share:+.1%})")
        rows.append(row)
    return table(head, rows)


def lost_to(outcomes):
    """Lists where a baseline beats the product's decisions by over 2%."""
    lines = []
    for trace, by_policy in outcomes.items():
        own = by_policy["own"]["metrics"]["good_requests_per_s"]
        for it in BASELINES:
            value = by_policy[it]["metrics"]["good_requests_per_s"]
            if own < 0.98 * value:
                lines.append(f"- {trace}: {it} has {value / own - 1:.1%} more\n")
    return "".join(lines) or "- none\n"


def points(values, width, height, highest, left, top):
    step = width / max(len(values) - 1, 1)
    return " ".join(f"{left + it * step:.1f},"
                    f"{top + height - height * value / highest:.1f}"
                    for it, value in enumerate(values))


def plot(trace, by_policy):
    """Returns an SVG: tokens in time per second, and engines by role."""
    shown = {"own": "#1f5fa8", "threshold-roles": "#c0504d",
             "round-robin": "#8a8a8a"}
    smooth = {}
    for name in shown:
        good = [it[0] for it in by_policy[name]["samples"]]
        smooth[name] = [sum(good[max(0, n - SMOOTH + 1):n + 1]) /
                        min(n + 1, SMOOTH) for n in range(len(good))]
    highest = max(max(it) for it in smooth.values()) or 1
    svg = ['<svg xmlns="http://www.w3.org/2000/svg" width="760" height="420" '
           'font-family="sans-serif" font-size="12">',
           '<rect width="760" height="420" fill="white"/>',
           f'<text x="60" y="18">{trace}: tokens answered in time per second '
           f'(highest {highest:.0f}), average of {SMOOTH} s</text>']
    for n, (name, colour) in enumerate(shown.items()):
        svg.append(f'<polyline fill="none" stroke="{colour}" '
                   f'stroke-width="1.5" points="'
                   f'{points(smooth[name], 680, 200, highest, 60, 30)}"/>')
        svg.append(f'<text x="{60 + 160 * n}" y="250" fill="{colour}">'
                   f'{name}</text>')
    svg.append('<text x="60" y="285">engines by role, own: prefill, decode, '
               'mixed</text>')
    for column, colour in ((1, "#2e8b57"), (2, "#b8860b"), (3, "#5b5b5b")):
        counts = [it[column] for it in by_policy["own"]["samples"]]
        svg.append(f'<polyline fill="none" stroke="{colour}" '
                   f'stroke-width="1.5" points="'
                   f'{points(counts, 680, 100, 8, 60, 295)}"/>')
    for n, (name, colour) in enumerate(
            (("prefill", "#2e8b57"), ("decode", "#b8860b"),
             ("mixed", "#5b5b5b"))):
        svg.append(f'<text x="{60 + 100 * n}" y="412" fill="{colour}">'
                   f'{name}</text>')
    seconds = len(by_policy["own"]["samples"])
    svg += [f'<text x="700" y="412">{seconds} s</text>',
            '<path d="M60 30V230H740M60 295V395H740" fill="none" '
            'stroke="black"/>', "</svg>"]
    return "\n".join(svg) + "\n"


def page(outcomes):
    plots = "\n".join(f"![{it}](plots/{it}.svg)\n" for it in PLOTTED)
    return f"""# Results

Written by `scripts/results.sh` from one run of `indigolead replay` over
`traces/`. Time is virtual and every draw is seeded: the same build gives the
same figures each time. They compare decisions against one cost model of
an engine; they are no forecast for real engines.

A request is good if its whole answer came before its deadline. The bound
knows everything, prefills each shared prefix once, keeps every engine full
and takes the smallest requests first; under overload no policy that is fair
can come near it. "Wrongly" counts refusals for the deadline where an engine,
taken alone, could have been in time behind what was queued then: it is a
count from above.

## Own decisions

{details(outcomes)}
## Against baselines

Good requests per second, and in brackets by how much the product's own
decisions do better. Routing baselines run with the same admission and retry
budget and with mixed engines throughout. `static-roles` keeps the roles that the
trace begins with; it and
`threshold-roles` have the product's routing, as has `all-mixed`, which starts with no
engine in a special role.

{comparison(outcomes, BASELINES)}
A baseline beats the product's decisions by more than 2% here:

{lost_to(outcomes)}
## What each mechanism is worth

The product's decisions with one mechanism switched off.

{comparison(outcomes, ABLATIONS)}
## Plots

{plots}"""


def main():
    program = sys.argv[1]
    outcomes = {
        trace.stem: {policy: run(program, trace, policy)
                     for policy in ["own"] + BASELINES + ABLATIONS}
        for trace in TRACES}
    plots = pathlib.Path("docs/plots")
    plots.mkdir(parents=True, exist_ok=True)
    for it in PLOTTED:
        (plots / f"{it}.svg").write_text(plot(it, outcomes[it]))
    pathlib.Path("docs/RESULTS.md").write_text(page(outcomes))


main()
