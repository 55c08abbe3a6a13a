"""Fits a slope per cost to the measured rows. All extrapolated figures of the page use these.

The cores are the entry_core and agent_core objects, which bench/capacity_bench.cpp measures.
"""

from statistics import mean

from capacity_lib.fits import fit

CHOSEN_ENTRIES = 6  # equals maxChosenEntries of an agent


def sent_and_received(side, unit="bytes"):
    return side[f"sent_{unit}"] + side[f"received_{unit}"]


def kind_total(side, direction, name, index=1):
    """Messages (index 0) or bytes (index 1) of one kind in a row of the cores, 0 if absent."""
    return side[f"{direction}_kinds"].get(name, [0, 0])[index]


def core_idle(rows):
    """Costs per second of idle cores."""
    by_agents, by_entries = rows("idle_by_agents"), rows("idle_by_entries")
    by_teams = rows("idle_by_teams")
    costs = {
        "entry_agent_bytes": ("bytes/s per connected agent, entry core, sent and received",
                              [(r["agents"], sent_and_received(r["entry"]) / r["seconds"])
                               for r in by_agents]),
        "entry_agent_messages": ("messages/s per connected agent, entry core, sent and received",
                                 [(r["agents"], sent_and_received(r["entry"], "messages")
                                   / r["seconds"])
                                  for r in by_agents]),
        "entry_agent_cpu": ("CPU us/s per connected agent, entry core",
                            [(r["agents"], r["entry"]["cpu_us"] / r["seconds"])
                             for r in by_agents]),
        "entry_agent_heap": ("heap bytes per connected agent, entry core",
                             [(r["agents"], r["entry_heap_bytes"]) for r in by_agents]),
        "entry_peer_bytes": ("heartbeat bytes/s received per other entry, entry core",
                             [(r["entries"] - 1,
                               kind_total(r["entry"], "received", "entry_heartbeat")
                               / r["seconds"]) for r in by_entries]),
        "entry_team_bytes": ("heartbeat bytes/s received per team in use and other entry, entry "
                              "core",
                             [(r["teams"], kind_total(r["entry"], "received", "entry_heartbeat")
                               / r["seconds"] / (r["entries"] - 1)) for r in by_teams]),
        "agent_entry_bytes": ("bytes/s per known entry beyond 6, agent core, sent and received",
                              [(r["entries"], sent_and_received(r["all_agents"]) / r["agents"]
                                / r["seconds"])
                               for r in by_entries if r["entries"] > CHOSEN_ENTRIES]),
        "agent_entry_cpu": ("CPU us/s per known entry beyond 6, agent core",
                            [(r["entries"], r["all_agents"]["cpu_us"] / r["agents"]
                              / r["seconds"]) for r in by_entries
                             if r["entries"] > CHOSEN_ENTRIES]),
        "agent_entry_heap": ("heap bytes per known entry, agent core",
                             [(r["entries"], r["agent_heap_bytes"]) for r in by_entries]),
    }
    return costs


def net_cpu_us(row, side, idle_key):
    return row[side]["cpu_us"] - row[idle_key]


def core_load(rows):
    """Costs of jobs on the cores."""
    tasks, agents = rows("load_by_tasks"), rows("load_by_agents")
    answers, records = rows("answers_by_jobs"), rows("records")
    outcomes = rows("outcomes_by_jobs")
    return {
        "core_job_cpu": ("CPU us per task, both entry cores of the home, jobs of x tasks",
                         [(r["tasks"], (net_cpu_us(r, "entry", "entry_idle_cpu_us")
                                        + net_cpu_us(r, "backup", "backup_idle_cpu_us"))
                           / r["jobs"])
                          for r in tasks]),
        "core_agent_job_cpu": ("CPU us per task, all agent cores, jobs of x tasks",
                               [(r["tasks"], net_cpu_us(r, "all_agents", "agents_idle_cpu_us")
                                 / r["jobs"]) for r in tasks]),
        "core_start_cpu": ("CPU us per start, entry and backup cores, x starts "
                           "(x/100 jobs, x/100 - 50 agents)",
                           [(r["starts"], net_cpu_us(r, "entry", "entry_idle_cpu_us")
                             + net_cpu_us(r, "backup", "backup_idle_cpu_us")) for r in agents]),
        "core_start_bytes": ("bytes per start, entry core: start_tasks, task_updates, update_ack",
                             [(r["starts"], kind_total(r["entry"], "sent", "start_tasks")
                               + kind_total(r["entry"], "received", "task_updates")
                               + kind_total(r["entry"], "sent", "update_ack")) for r in agents]),
        "core_start_messages": ("messages per start, entry core: start_tasks, task_updates, "
                                "update_ack",
                                [(r["starts"], kind_total(r["entry"], "sent", "start_tasks", 0)
                                  + kind_total(r["entry"], "received", "task_updates", 0)
                                  + kind_total(r["entry"], "sent", "update_ack", 0))
                                 for r in agents]),
        "record_heap": ("heap bytes per waiting job of 100 tasks, primary and backup cores",
                        [(r["jobs"], r["entry"]["heap_bytes"] + r["backup"]["heap_bytes"])
                         for r in records]),
        "answer_heap": ("heap bytes per retained answer of 100 tasks, primary and backup cores",
                        [(r["jobs"], r["entry"]["heap_bytes"] + r["backup"]["heap_bytes"])
                         for r in answers]),
        "agent_record_heap": ("heap bytes per task record, which is retained for 60 s, agent cores",
                              [(r["starts"], r["all_agents"]["heap_bytes"]) for r in answers]),
        "outcome_heap": ("heap bytes per ended job of 1 task, answer expired, both entry cores",
                         [(r["jobs"], r["entry_heap_after_bytes"] + r["backup_heap_after_bytes"])
                          for r in outcomes]),
        "outcome_heap_100": ("heap bytes per ended job of 100 tasks, 71 s after the last job, "
                             "both entry cores",
                             [(r["jobs"], r["entry_heap_after_bytes"]
                               + r["backup_heap_after_bytes"]) for r in answers]),
    }


def core_events(rows):
    """Costs of takeovers, configuration changes and replacements on the cores."""
    by_jobs, by_agents = rows("takeover_by_jobs"), rows("takeover_by_agents")
    config_agents, config_teams = rows("config_by_agents"), rows("config_by_teams")
    replaced, rates = rows("replacement_by_entries"), rows("config_by_rate")
    return {
        "takeover_job_cpu": ("CPU us per job taken over (100 tasks), backup core, 3 s from the "
                             "kill",
                             [(r["jobs"], net_cpu_us(r, "entry", "entry_idle_cpu_us"))
                              for r in by_jobs]),
        "takeover_agent_messages": ("fence messages per agent in the scope, sent and received",
                                    [(r["agents"],
                                     kind_total(r["entry"], "sent", "fence_request", 0)
                                      + kind_total(r["entry"], "received", "fence_report", 0))
                                     for r in by_agents]),
        "takeover_agent_cpu": ("CPU us per agent in the scope, backup core, 3 s from the kill",
                               [(r["agents"], net_cpu_us(r, "entry", "entry_idle_cpu_us"))
                                for r in by_agents]),
        "config_agent_messages": ("config messages per agent and change, all agent cores",
                                  [(r["agents"],
                                   (kind_total(r["all_agents"], "sent", "config_pull", 0)
                                                  + kind_total(r["all_agents"], "received",
                                                         "config_push", 0)) / r["changes"])
                                   for r in config_agents]),
        "config_agent_bytes": ("bytes received per agent and change, by bytes of the manifest",
                               [(r["manifest_bytes"], kind_total(r["all_agents"], "received",
                                                           "config_push")
                                 / r["agents"] / r["changes"]) for r in config_teams]),
        "config_rate_bytes": ("config bytes/s per agent, by changes/s, 110 teams; levels off",
                              [(r["changes_per_second"],
                                sum(kind_total(r["all_agents"], way, f"config_{name}")
                                    for way in ("sent", "received") for name in ("pull", "push"))
                                / r["agents"] / r["seconds"]) for r in rates]),
        "config_team_bytes": ("bytes of the manifest per team",
                              [(r["teams"], r["manifest_bytes"]) for r in config_teams]),
        "config_agent_ms": ("ms until all cores have received a change, by agents, 10 ms per hop",
                            [(r["agents"], r["longest_ms"]) for r in config_agents]),
        "replacement_messages": ("scope messages per replaced agent, all entry cores, by entries",
                                 [(r["entries"],
                                   kind_total(r["entries_sum"], "sent", "scope_update", 0)
                                   + kind_total(r["entries_sum"], "sent", "scope_ack", 0))
                                  for r in replaced]),
        "scope_heap": ("heap bytes per known entry, entry core, 32 agents, sessions with all "
                       "backups",
                       [(r["entries"], r["scope_heap_bytes"]) for r in replaced]),
    }


def process_idle(rows):
    """Costs per second of idle processes; costs of configuration changes; store calls."""
    by_agents, by_entries = rows("idle_by_agents"), rows("idle_by_entries")
    by_teams, by_services = rows("idle_by_teams"), rows("idle_by_services")

    def calls(row):
        return sum(row["store_calls"].values())

    return {
        "p_entry_agent_cpu": ("CPU us/s per agent, entry process",
                              [(r["agents"], r["entry"]["cpu_seconds"] * 1e6 / r["seconds"])
                               for r in by_agents]),
        "p_entry_agent_bytes": ("bytes/s per agent, entry process, sent and received",
                                [(r["agents"], sent_and_received(r["entry"]) / r["seconds"])
                                 for r in by_agents]),
        "p_entry_agent_rss": ("RSS bytes per agent, entry process",
                              [(r["agents"], r["entry"]["rss_bytes"]) for r in by_agents]),
        "p_agent_entry_cpu": ("CPU us/s per chosen entry, agent process",
                              [(min(CHOSEN_ENTRIES, r["entries"]), r["agent"]["cpu_seconds"]
                                * 1e6 / r["seconds"]) for r in by_entries]),
        "p_agent_entry_bytes": ("bytes/s per chosen entry, agent process, sent and received",
                                [(min(CHOSEN_ENTRIES, r["entries"]), sent_and_received(r["agent"])
                                  / r["seconds"]) for r in by_entries]),
        "p_agent_entry_rss": ("RSS bytes per entry, agent process",
                              [(r["entries"], r["agent"]["rss_bytes"]) for r in by_entries]),
        "p_store_calls": ("store calls/s per idle entry",
                          [(r["entries"], calls(r) / r["seconds"]) for r in by_entries]),
        "p_store_agent_calls": ("store calls/s per idle agent",
                                [(r["agents"], calls(r) / r["seconds"]) for r in by_agents]),
        "p_config_seconds": ("mean s until the tool reports a change in force, by agents",
                             [(r["agents"], mean(r["config_seconds"])) for r in by_agents]),
        "p_config_entries": ("mean s until the tool reports a change in force, by entries",
                             [(r["entries"], mean(r["config_seconds"])) for r in by_entries]),
        "p_tool_cpu": ("CPU s of the tool per change, by agents",
                       [(r["agents"], r["tool_cpu_seconds"]) for r in by_agents]),
        "p_tool_cpu_entries": ("CPU s of the tool per change, by entries",
                               [(r["entries"], r["tool_cpu_seconds"]) for r in by_entries]),
        "p_state_bytes": ("bytes of an entry's state dump, by agents",
                          [(r["agents"], r["state_bytes"]) for r in by_agents]),
        "p_team_rss": ("RSS bytes per team in the manifest, entry process",
                       [(r["teams"], r["entry"]["rss_bytes"]) for r in by_teams]),
        "p_service_cpu": ("CPU us/s per service in the manifest, entry process",
                          [(r["services"], r["entry"]["cpu_seconds"] * 1e6 / r["seconds"])
                           for r in by_services]),
    }


def process_load(rows):
    """Costs of jobs on processes, less the CPU time that idle processes use."""
    tasks, takeovers = rows("load_by_tasks"), rows("takeover_by_jobs")

    def cpu(row, side, part="cpu_seconds"):
        idle_key = "cpu" if part == "cpu_seconds" else "control"
        idle = row[f"idle_{side}_{idle_key}_per_second"] * row["seconds"]
        count = row["entries"] if side == "entry" else row["agents"]
        return (row[side][part] - idle) * count * 1e6 / row["jobs"]

    return {
        "p_job_cpu": ("CPU us per task, all entry processes, jobs of x tasks",
                      [(r["tasks"], cpu(r, "entry")) for r in tasks]),
        "p_job_control_cpu": ("CPU us per task, control threads of all entries, jobs of x tasks",
                              [(r["tasks"], cpu(r, "entry", "control_cpu_seconds"))
                               for r in tasks]),
        "p_agent_job_cpu": ("CPU us per task, all agent processes, jobs of x tasks",
                            [(r["tasks"], cpu(r, "agent")) for r in tasks]),
        "p_takeover_seconds": ("s from the kill to the end of the takeover, by jobs",
                               [(r["jobs"], r["takeover_seconds"]) for r in takeovers
                                if r["takeover_seconds"] is not None]),
    }


def all_slopes(core_rows, process_rows):
    """Returns a dictionary from the name of a slope to its description, source and fit.

    A slope with fewer than four points has the key "missing" in place of the fit.
    """
    slopes = {}
    for source, rows, groups in (("cores", core_rows, (core_idle, core_load, core_events)),
                                 ("processes", process_rows, (process_idle, process_load))):
        def rows_of_experiment(name, rows=rows):
            return [row for row in rows if row["experiment"] == name]
        for group in groups:
            for name, (description, points) in group(rows_of_experiment).items():
                if len(points) >= 4:
                    slopes[name] = {"description": description, "source": source, **fit(points)}
                else:
                    slopes[name] = {"description": description, "source": source,
                                    "missing": f"only {len(points)} points"}
    return slopes
