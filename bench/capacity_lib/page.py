"""Writes the generated parts of docs/CAPACITY.md between its markers, and the plots."""

import pathlib
import re

from capacity_lib import target
from capacity_lib.fits import plot, format_number


def table(lines):
    rows = ["| line | at the target size (extrapolated) | limit | verdict | slopes | mechanism | "
            "state |", "|---|---|---|---|---|---|---|"]
    for line in lines:
        limit = "-" if line.limit is None else f"{format_number(line.limit)} {line.unit}"
        sources = ", ".join(f"`{name}`" for name in line.slopes) or "arithmetic on the target size"
        rows.append(f"| {line.name} | {format_number(line.value)} {line.unit} | {limit} | "
                    f"{line.verdict()} | {sources} | {line.mechanism} | {line.status} |")
    return "\n".join(rows)


# Table of the fits that slopes.all_slopes() returns.
def slope_table(slopes):
    rows = ["| name | meaning | from | slope | standard error | value at x = 0 | R2 | x measured | "
            "plot |", "|---|---|---|---|---|---|---|---|---|"]
    for name, fit in slopes.items():
        if "missing" in fit:
            rows.append(f"| `{name}` | {fit['description']} | {fit['source']} | no fit: "
                        f"{fit['missing']} | | | | | |")
            continue
        sizes = ", ".join(f"{x:,.0f}" for x, _ in fit["points"])
        rows.append(f"| `{name}` | {fit['description']} | {fit['source']} | "
                    f"{format_number(fit['slope'])} | {format_number(fit['slope_error'])} | "
                    f"{format_number(fit['intercept'])} | {fit['r2']:.3f} | {sizes} | "
                    f"[svg](capacity/{name}.svg) |")
    return "\n".join(rows)


def summary_table(model):
    """Table of the target.Line, a cost with its limit, that each role exceeds the most.

    Costs whose names begin with "work" are left out if any other cost exceeds its limit.
    """
    rows = ["| role | verdict | line that exceeds its limit the most | "
            "change that would make it fit |",
            "|---|---|---|---|"]
    roles = {"entry": model.entry(), "agent": model.agent(), "operators' tool": model.tool(),
             "store": model.store(), "target's connection": model.target_connection()}
    for role, lines in roles.items():
        exceeded = [line for line in lines if not line.fits()]
        without_work = [line for line in exceeded if not line.name.startswith("work")] or exceeded
        if not exceeded:
            rows.append(f"| {role} | fits the target size, as far as measured | - | - |")
            continue
        most_exceeded = max(without_work, key=lambda line: line.value / line.limit)
        rows.append(f"| {role} | **does not fit** ({len(exceeded)} of {len(lines)} lines) | "
                    f"{most_exceeded.name}: "
                    f"{format_number(most_exceeded.value)} {most_exceeded.unit} against "
                    f"{format_number(most_exceeded.limit)} | {most_exceeded.change} |")
    return "\n".join(rows)


def assumptions(model, conditions):
    return "\n".join([
        *(f"- Run of the {part} on {run['date']}, commit {run['commit']}; load average "
          f"{run['load_before']:.1f} before and {run['load_after']:.1f} after, "
          f"{run['processors']} processors shared with other work."
          for part, run in sorted(conditions.items())),
        "- CPU means CPU time, never wall time.",
        f"- {target.TASKS_PER_JOB} tasks per job on average (assumed), so "
        f"{format_number(target.JOBS_PER_SECOND)} jobs/s; "
        f"{target.MEAN_RUN_SECONDS} s mean run time of a task (assumed).",
        "- Entries: with 16 agents the control threads of all entries together take "
        f"{format_number(model.few_agents_us)} us per start (`p_job_control_cpu` at "
        f"{target.TASKS_PER_JOB} tasks). With 1,024 agents the batches are small and a start costs "
        f"the cores {format_number(model.many_agents_factor)} times as much as with 16 "
        "(`core_start_cpu`, first and last point), so "
        f"{format_number(model.control_us)} us are assumed. At "
        f"{target.CONTROL_THREAD_SHARE:.0%} of a core for each control thread, "
        f"{target.STARTS_PER_SECOND:,} starts/s need **{model.entries} entries** (a multiple of "
        f"the {target.ZONES} zones).",
        f"- Each agent chooses {target.ENTRIES_PER_AGENT} entries and exchanges heartbeats with "
        "them, so "
        f"{format_number(model.connected_agents)} agents are connected to an entry "
        f"({target.WORKERS:,} x {target.ENTRIES_PER_AGENT} / {model.entries}); an agent starts "
        f"{format_number(model.agent_starts)} tasks/s and has "
        f"{format_number(model.in_flight)} in flight.",
        f"- Configuration: 55,000 changes a day are {target.CHANGES_PER_DAY / 86400:.2f}/s; the "
        "burst of one build pipeline is assumed to be "
        f"{target.BURST_CHANGES_PER_SECOND} changes/s.",
        f"- Manifest of {target.TEAMS} teams: {format_number(model.manifest)} bytes "
        "(`config_team_bytes`).",
    ])


def replace_blocks(path, blocks):
    """Replaces the text between `<!-- begin NAME -->` and `<!-- end NAME -->` for each block.

    Exits with a message if a marker is missing.
    """
    text = pathlib.Path(path).read_text()
    for name, block in blocks.items():
        begin, end = f"<!-- begin {name} -->", f"<!-- end {name} -->"
        if begin not in text or end not in text:
            raise SystemExit(f"{path}: no markers for block {name}")
        text = re.sub(f"{re.escape(begin)}.*?{re.escape(end)}",
                      lambda _, b=block: f"{begin}\n{b}\n{end}", text, flags=re.S)
    pathlib.Path(path).write_text(text)


def write_page(docs, slopes, process_rows, conditions):
    """Writes the plots and the generated parts of the page."""
    docs = pathlib.Path(docs)
    for name, fit in slopes.items():
        if "missing" not in fit:
            plot(docs / "capacity" / f"{name}.svg", fit["description"][:70], "x", name, fit)
    model = target.Model(slopes, process_rows)
    replace_blocks(docs / "CAPACITY.md", {
        "assumptions": assumptions(model, conditions), "summary": summary_table(model),
        "entry": table(model.entry()), "agent": table(model.agent()),
        "tool": table(model.tool()), "store": table(model.store()),
        "target": table(model.target_connection()), "failures": table(model.failures()),
        "slopes": slope_table(slopes)})
