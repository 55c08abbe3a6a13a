"""Fills the tables of docs/CAPACITY.md between its markers."""

import pathlib
import re

from capacity_lib import target
from capacity_lib.fits import plot, show


def table(lines):
    rows = ["| line | at the target size (extrapolated) | limit | verdict | slopes | mechanism | "
            "state |", "|---|---|---|---|---|---|---|"]
    for line in lines:
        limit = "-" if line.limit is None else f"{show(line.limit)} {line.unit}"
        sources = ", ".join(f"`{name}`" for name in line.slopes) or "arithmetic on the target size"
        rows.append(f"| {line.name} | {show(line.value)} {line.unit} | {limit} | "
                    f"{line.verdict()} | {sources} | {line.mechanism} | {line.status} |")
    return "\n".join(rows)


def slope_table(slopes):
    rows = ["| name | meaning | from | slope | standard error | value at x = 0 | R2 | x measured | "
            "plot |", "|---|---|---|---|---|---|---|---|---|"]
    for name, line in slopes.items():
        if "missing" in line:
            rows.append(f"| `{name}` | {line['description']} | {line['source']} | no fit: "
                        f"{line['missing']} | | | | | |")
            continue
        sizes = ", ".join(f"{x:,.0f}" for x, _ in line["points"])
        rows.append(f"| `{name}` | {line['description']} | {line['source']} | "
                    f"{show(line['slope'])} | {show(line['slope_error'])} | "
                    f"{show(line['intercept'])} | {line['r2']:.3f} | {sizes} | "
                    f"[svg](capacity/{name}.svg) |")
    return "\n".join(rows)


def breaks(model):
    """The first line of each role that breaks: the one that exceeds its limit the most."""
    rows = ["| role | verdict | first thing that breaks | change that would make it fit |",
            "|---|---|---|---|"]
    roles = {"entry": model.entry(), "agent": model.agent(), "operators' tool": model.tool(),
             "store": model.store(), "target's connection": model.target_connection()}
    for role, lines in roles.items():
        over = [line for line in lines if not line.fits()]
        control = [line for line in over if not line.name.startswith("work")] or over
        if not over:
            rows.append(f"| {role} | carries the target size as far as measured | - | - |")
            continue
        worst = max(control, key=lambda line: line.value / line.limit)
        rows.append(f"| {role} | **does not carry it** ({len(over)} of {len(lines)} lines) | "
                    f"{worst.name}: "
                    f"{show(worst.value)} {worst.unit} against {show(worst.limit)} | "
                    f"{worst.change} |")
    return "\n".join(rows)


def assumptions(model, conditions):
    return "\n".join([
        *(f"- Run of the {part} on {run['date']}, commit {run['commit']}; load average "
          f"{run['load_before']:.1f} before and {run['load_after']:.1f} after, "
          f"{run['processors']} processors shared with other work."
          for part, run in sorted(conditions.items())),
        "- CPU is CPU time, never wall time.",
        f"- {target.TASKS} tasks a job on average (assumed), so {show(target.JOBS)} jobs/s; "
        f"{target.MEAN_RUN_SECONDS} s mean run time of a task (assumed).",
        f"- Entries: their control threads take {show(model.small_us)} us a start in all with 16 "
        f"agents (`p_job_control_cpu` at {target.TASKS} tasks). With 1,024 agents batches are "
        f"small and a start costs the cores {show(model.spread)} times as much as with 16 "
        f"(`core_start_cpu`, first and last point), so {show(model.control_us)} us are assumed. At "
        f"{target.CONTROL_THREAD_SHARE:.0%} of a core for each control thread, "
        f"{target.STARTS:,} starts/s need **{model.entries} entries** (a multiple of the "
        f"{target.ZONES} zones).",
        f"- An entry then hears {show(model.heard)} agents ({target.WORKERS:,} x {target.CHOSEN} / "
        f"{model.entries}); an agent starts {show(model.agent_starts)} tasks/s and has "
        f"{show(model.in_flight)} in flight.",
        f"- Configuration: 55,000 changes a day are {target.CHANGES_A_DAY / 86400:.2f}/s; the "
        f"burst of one build pipeline is assumed to be {target.BURST_A_SECOND} changes/s.",
        f"- Manifest of {target.TEAMS} teams: {show(model.manifest)} bytes (`config_team_bytes`).",
    ])


def fill(path, blocks):
    """Replaces the text between `<!-- begin NAME -->` and `<!-- end NAME -->`."""
    text = pathlib.Path(path).read_text()
    for name, block in blocks.items():
        begin, end = f"<!-- begin {name} -->", f"<!-- end {name} -->"
        if begin not in text or end not in text:
            raise SystemExit(f"{path}: no markers for {name}")
        text = re.sub(f"{re.escape(begin)}.*?{re.escape(end)}",
                      lambda _, b=block: f"{begin}\n{b}\n{end}", text, flags=re.S)
    pathlib.Path(path).write_text(text)


def write(docs, slopes, process_rows, conditions):
    """Writes the plots and the page's tables."""
    docs = pathlib.Path(docs)
    for name, line in slopes.items():
        if "missing" not in line:
            plot(docs / "capacity" / f"{name}.svg", line["description"][:70], "x", name, line)
    model = target.Model(slopes, process_rows)
    fill(docs / "CAPACITY.md", {
        "assumptions": assumptions(model, conditions), "summary": breaks(model),
        "entry": table(model.entry()), "agent": table(model.agent()),
        "tool": table(model.tool()), "store": table(model.store()),
        "target": table(model.target_connection()), "failures": table(model.failures()),
        "slopes": slope_table(slopes)})
