"""Slopes of the measured rows: the only input of the page's figures."""

from statistics import mean

from capacity_lib.fits import fit

CHOSEN_ENTRIES = 6  # maxChosenEntries of an agent


def both(side, unit="bytes"):
    return side[f"sent_{unit}"] + side[f"received_{unit}"]


def kind(side, direction, name, index=1):
    """Messages (0) or bytes (1) of one kind in a row of the cores."""
    return side[f"{direction}_kinds"].get(name, [0, 0])[index]


def core_idle(rows):
    """Idle costs of the cores a second."""
    by_agents, by_entries = rows("idle_by_agents"), rows("idle_by_entries")
    by_teams = rows("idle_by_teams")
    made = {
        "entry_agent_bytes": ("bytes/s an agent heard, entry, both directions",
                              [(r["agents"], both(r["entry"]) / r["seconds"])
                               for r in by_agents]),
        "entry_agent_messages": ("messages/s an agent heard, entry, both directions",
                                 [(r["agents"], both(r["entry"], "messages") / r["seconds"])
                                  for r in by_agents]),
        "entry_agent_cpu": ("CPU us/s an agent heard, entry core",
                            [(r["agents"], r["entry"]["cpu_us"] / r["seconds"])
                             for r in by_agents]),
        "entry_agent_heap": ("heap bytes an agent heard, entry core",
                             [(r["agents"], r["entry_heap_bytes"]) for r in by_agents]),
        "entry_peer_bytes": ("bytes/s an entry known, entry, heartbeats received",
                             [(r["entries"] - 1, kind(r["entry"], "received", "entry_heartbeat")
                               / r["seconds"]) for r in by_entries]),
        "entry_team_bytes": ("bytes/s a team in use, for each entry known, heartbeats received",
                             [(r["teams"], kind(r["entry"], "received", "entry_heartbeat")
                               / r["seconds"] / (r["entries"] - 1)) for r in by_teams]),
        "agent_entry_bytes": ("bytes/s an entry known beyond 6, agent, both directions",
                              [(r["entries"], both(r["all_agents"]) / r["agents"] / r["seconds"])
                               for r in by_entries if r["entries"] > CHOSEN_ENTRIES]),
        "agent_entry_cpu": ("CPU us/s an entry known beyond 6, agent core",
                            [(r["entries"], r["all_agents"]["cpu_us"] / r["agents"]
                              / r["seconds"]) for r in by_entries
                             if r["entries"] > CHOSEN_ENTRIES]),
        "agent_entry_heap": ("heap bytes an entry known, agent core",
                             [(r["entries"], r["agent_heap_bytes"]) for r in by_entries]),
    }
    return made


def net(row, side, idle_key):
    return row[side]["cpu_us"] - row[idle_key]


def core_load(rows):
    """Costs of jobs on the cores."""
    tasks, agents = rows("load_by_tasks"), rows("load_by_agents")
    answers, records = rows("answers_by_jobs"), rows("records")
    outcomes = rows("outcomes_by_jobs")
    return {
        "core_job_cpu": ("CPU us a task, control threads' cores of both entries of the home, a job of x tasks",
                         [(r["tasks"], (net(r, "entry", "entry_idle_cpu_us")
                                        + net(r, "backup", "backup_idle_cpu_us")) / r["jobs"])
                          for r in tasks]),
        "core_agent_job_cpu": ("CPU us a task, all agents, a job of x tasks",
                               [(r["tasks"], net(r, "all_agents", "agents_idle_cpu_us")
                                 / r["jobs"]) for r in tasks]),
        "core_start_cpu": ("CPU us a start by starts in all, entry and backup, fleets of x/100 "
                           "jobs and as many agents",
                           [(r["starts"], net(r, "entry", "entry_idle_cpu_us")
                             + net(r, "backup", "backup_idle_cpu_us")) for r in agents]),
        "core_start_bytes": ("bytes a start, start_tasks, task_updates and update_ack at the entry",
                             [(r["starts"], kind(r["entry"], "sent", "start_tasks")
                               + kind(r["entry"], "received", "task_updates")
                               + kind(r["entry"], "sent", "update_ack")) for r in agents]),
        "core_start_messages": ("messages a start, the same kinds",
                                [(r["starts"], kind(r["entry"], "sent", "start_tasks", 0)
                                  + kind(r["entry"], "received", "task_updates", 0)
                                  + kind(r["entry"], "sent", "update_ack", 0)) for r in agents]),
        "record_heap": ("heap bytes a waiting job of 100 tasks, primary and backup",
                        [(r["jobs"], r["entry"]["heap_bytes"] + r["backup"]["heap_bytes"])
                         for r in records]),
        "answer_heap": ("heap bytes a retained answer of 100 tasks, primary and backup",
                        [(r["jobs"], r["entry"]["heap_bytes"] + r["backup"]["heap_bytes"])
                         for r in answers]),
        "agent_record_heap": ("heap bytes a task record, agents, within its 60 s",
                              [(r["starts"], r["all_agents"]["heap_bytes"]) for r in answers]),
        "outcome_heap": ("heap bytes left an ended job of 1 task, answer expired, both entries",
                         [(r["jobs"], r["entry_heap_after_bytes"] + r["backup_heap_after_bytes"])
                          for r in outcomes]),
        "outcome_heap_100": ("the same for jobs of 100 tasks, 71 s after the last; older jobs leave less",
                             [(r["jobs"], r["entry_heap_after_bytes"]
                               + r["backup_heap_after_bytes"]) for r in answers]),
    }


def core_events(rows):
    """Costs of takeovers, configuration changes and replacements on the cores."""
    by_jobs, by_agents = rows("takeover_by_jobs"), rows("takeover_by_agents")
    config_agents, config_teams = rows("config_by_agents"), rows("config_by_teams")
    replaced = rows("replacement_by_entries")
    return {
        "takeover_job_cpu": ("CPU us a job taken over (100 tasks), backup core, 3 s from the kill",
                             [(r["jobs"], net(r, "entry", "entry_idle_cpu_us")) for r in by_jobs]),
        "takeover_agent_messages": ("fence messages an agent in the scope, both directions",
                                    [(r["agents"], kind(r["entry"], "sent", "fence_request", 0)
                                      + kind(r["entry"], "received", "fence_report", 0))
                                     for r in by_agents]),
        "takeover_agent_cpu": ("CPU us an agent in the scope, backup core, 50 jobs, 3 s from the kill",
                               [(r["agents"], net(r, "entry", "entry_idle_cpu_us")) for r in by_agents]),
        "config_agent_messages": ("config messages an agent for a change, all agents",
                                  [(r["agents"], (kind(r["all_agents"], "sent", "config_pull", 0)
                                                  + kind(r["all_agents"], "received",
                                                         "config_push", 0)) / r["changes"])
                                   for r in config_agents]),
        "config_agent_bytes": ("bytes an agent receives a change, by bytes of the manifest",
                               [(r["manifest_bytes"], kind(r["all_agents"], "received",
                                                           "config_push")
                                 / r["agents"] / r["changes"]) for r in config_teams]),
        "config_team_bytes": ("bytes of the manifest a team",
                              [(r["teams"], r["manifest_bytes"]) for r in config_teams]),
        "config_agent_ms": ("ms until in force in all cores, by agents (10 ms a hop)",
                            [(r["agents"], r["longest_ms"]) for r in config_agents]),
        "replacement_messages": ("scope messages of a replaced agent, all entries, by entries",
                                 [(r["entries"],
                                   kind(r["entries_sum"], "sent", "scope_update", 0)
                                   + kind(r["entries_sum"], "sent", "scope_ack", 0))
                                  for r in replaced]),
        "scope_heap": ("heap bytes an entry known, 32 agents, sessions to all backups, entry core",
                       [(r["entries"], r["scope_heap_bytes"]) for r in replaced]),
    }


def process_idle(rows):
    """Idle costs of real processes a second, configuration changes and store calls."""
    by_agents, by_entries = rows("idle_by_agents"), rows("idle_by_entries")
    by_teams, by_services = rows("idle_by_teams"), rows("idle_by_services")

    def calls(row):
        return sum(row["store_calls"].values())

    return {
        "p_entry_agent_cpu": ("CPU us/s an agent, entry process",
                              [(r["agents"], r["entry"]["cpu_seconds"] * 1e6 / r["seconds"])
                               for r in by_agents]),
        "p_entry_agent_bytes": ("bytes/s an agent, entry process, both directions",
                                [(r["agents"], both(r["entry"]) / r["seconds"])
                                 for r in by_agents]),
        "p_entry_agent_rss": ("RSS bytes an agent, entry process",
                              [(r["agents"], r["entry"]["rss_bytes"]) for r in by_agents]),
        "p_agent_entry_cpu": ("CPU us/s an entry chosen, agent process",
                              [(min(CHOSEN_ENTRIES, r["entries"]), r["agent"]["cpu_seconds"]
                                * 1e6 / r["seconds"]) for r in by_entries]),
        "p_agent_entry_bytes": ("bytes/s an entry chosen, agent process, both directions",
                                [(min(CHOSEN_ENTRIES, r["entries"]), both(r["agent"])
                                  / r["seconds"]) for r in by_entries]),
        "p_agent_entry_rss": ("RSS bytes an entry, agent process",
                              [(r["entries"], r["agent"]["rss_bytes"]) for r in by_entries]),
        "p_store_calls": ("store calls/s an entry, idle",
                          [(r["entries"], calls(r) / r["seconds"]) for r in by_entries]),
        "p_store_agent_calls": ("store calls/s an agent, idle",
                                [(r["agents"], calls(r) / r["seconds"]) for r in by_agents]),
        "p_config_seconds": ("mean s until the tool reports a change in force, by agents",
                             [(r["agents"], mean(r["config_seconds"])) for r in by_agents]),
        "p_config_entries": ("mean s until the tool reports a change in force, by entries",
                             [(r["entries"], mean(r["config_seconds"])) for r in by_entries]),
        "p_tool_cpu": ("CPU s of the tool a change, by agents",
                       [(r["agents"], r["tool_cpu_seconds"]) for r in by_agents]),
        "p_tool_cpu_entries": ("CPU s of the tool a change, by entries",
                               [(r["entries"], r["tool_cpu_seconds"]) for r in by_entries]),
        "p_state_bytes": ("bytes of an entry's state dump, by agents",
                          [(r["agents"], r["state_bytes"]) for r in by_agents]),
        "p_team_rss": ("RSS bytes a team in the manifest, entry process",
                       [(r["teams"], r["entry"]["rss_bytes"]) for r in by_teams]),
        "p_service_cpu": ("CPU us/s a service in the manifest, entry process",
                          [(r["services"], r["entry"]["cpu_seconds"] * 1e6 / r["seconds"])
                           for r in by_services]),
    }


def process_load(rows):
    """Costs of jobs on real processes, without their idle part."""
    tasks, takeovers = rows("load_by_tasks"), rows("takeover_by_jobs")

    def cpu(row, side, part="cpu_seconds"):
        idle_key = "cpu" if part == "cpu_seconds" else "control"
        idle = row[f"idle_{side}_{idle_key}_per_second"] * row["seconds"]
        count = row["entries"] if side == "entry" else row["agents"]
        return (row[side][part] - idle) * count * 1e6 / row["jobs"]

    return {
        "p_job_cpu": ("CPU us a task, all entries, a job of x tasks",
                      [(r["tasks"], cpu(r, "entry")) for r in tasks]),
        "p_job_control_cpu": ("CPU us a task, control threads of all entries, a job of x tasks",
                              [(r["tasks"], cpu(r, "entry", "control_cpu_seconds"))
                               for r in tasks]),
        "p_agent_job_cpu": ("CPU us a task, all agents, a job of x tasks",
                            [(r["tasks"], cpu(r, "agent")) for r in tasks]),
        "p_takeover_seconds": ("s from the kill to the end of the takeover, by jobs",
                               [(r["jobs"], r["takeover_seconds"]) for r in takeovers
                                if r["takeover_seconds"] is not None]),
    }


def all_slopes(core_rows, process_rows):
    """Fits by name: description, source and line."""
    slopes = {}
    for source, rows, groups in (("cores", core_rows, (core_idle, core_load, core_events)),
                                 ("processes", process_rows, (process_idle, process_load))):
        def pick(name, rows=rows):
            return [row for row in rows if row["experiment"] == name]
        for group in groups:
            for name, (description, points) in group(pick).items():
                if len(points) >= 4:
                    slopes[name] = {"description": description, "source": source, **fit(points)}
                else:
                    slopes[name] = {"description": description, "source": source,
                                    "missing": f"{len(points)} points; no fit"}
    return slopes
