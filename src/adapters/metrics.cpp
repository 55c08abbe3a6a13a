#include "bamboohead/metrics.hpp"

#include <prometheus/counter.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <array>
#include <vector>

namespace bamboohead {

namespace {

/// Name and help text of the metric for one member of a counter structure.
template <typename Counters>
struct counter_row
{
    const char *name;
    const char *help;
    std::uint64_t Counters::*member;
};

using entry_row = counter_row<entry_counters>;
using agent_row = counter_row<agent_counters>;
using dispatch_entry_row = counter_row<dispatch_entry_counters>;
using dispatch_agent_row = counter_row<dispatch_agent_counters>;
using caller_row = counter_row<async_http_counters>;
using transport_row = counter_row<transport_counters>;

constexpr std::array entryRows{
        entry_row{"bamboohead_sessions_opened_total", "Sessions opened at this entry.",
                  &entry_counters::sessionsOpened},
        entry_row{"bamboohead_jobs_submitted_total", "Jobs submitted to this entry.",
                  &entry_counters::jobsSubmitted},
        entry_row{"bamboohead_jobs_complete_total", "Jobs whose tasks all finished.",
                  &entry_counters::jobsComplete},
        entry_row{"bamboohead_jobs_failed_total", "Jobs that failed.", &entry_counters::jobsFailed},
        entry_row{"bamboohead_jobs_refused_total", "Jobs refused before any task started.",
                  &entry_counters::jobsRefused},
        entry_row{"bamboohead_orders_sent_total", "Start orders sent to agents.",
                  &entry_counters::ordersSent},
        entry_row{"bamboohead_orders_refused_total", "Start orders refused by agents.",
                  &entry_counters::ordersRefused},
        entry_row{"bamboohead_updates_duplicate_total", "Repeated reports of task ends.",
                  &entry_counters::updatesDuplicate},
        entry_row{"bamboohead_takeovers_total",
                  "Takeovers begun by this entry as backup of a home (the two entries of a job).",
                  &entry_counters::takeovers},
        entry_row{"bamboohead_core_messages_dropped_total",
                  "Received messages that the decision core dropped.",
                  &entry_counters::messagesDropped},
};

constexpr std::array agentRows{
        agent_row{"bamboohead_tasks_started_total", "Tasks started on the target.",
                  &agent_counters::tasksStarted},
        agent_row{"bamboohead_tasks_finished_total", "Tasks that succeeded.",
                  &agent_counters::tasksFinished},
        agent_row{"bamboohead_tasks_failed_total", "Tasks that failed.",
                  &agent_counters::tasksFailed},
        agent_row{"bamboohead_orders_refused_total", "Start orders refused.",
                  &agent_counters::ordersRefused},
        agent_row{"bamboohead_reports_repeated_total",
                  "Reports of task ends sent again because no acknowledgement arrived.",
                  &agent_counters::reportsRepeated},
        agent_row{"bamboohead_recalls_total", "Heartbeats sent only to recall credits.",
                  &agent_counters::recalls},
        agent_row{"bamboohead_core_messages_dropped_total",
                  "Received messages that the decision core dropped.",
                  &agent_counters::messagesDropped},
};

constexpr std::array transportRows{
        transport_row{"bamboohead_messages_sent_total", "Messages queued for a peer.",
                      &transport_counters::sent},
        transport_row{"bamboohead_messages_received_total", "Well-formed messages received.",
                      &transport_counters::received},
        transport_row{"bamboohead_messages_malformed_total", "Received messages that do not parse.",
                      &transport_counters::malformed},
        transport_row{"bamboohead_messages_dropped_total", "Messages that could not be sent.",
                      &transport_counters::dropped},
        transport_row{"bamboohead_peers_opened_total", "Connections to peers opened.",
                      &transport_counters::peersOpened},
        transport_row{"bamboohead_peers_closed_total", "Connections to idle peers closed.",
                      &transport_counters::peersClosed},
        transport_row{"bamboohead_peers_reconnected_total",
                      "Connections replaced because the peer was silent.",
                      &transport_counters::peersReconnected},
};

constexpr std::array callerRows{
        caller_row{"bamboohead_caller_requests_total",
                   "Requests of callers, complete or malformed.", &async_http_counters::requests},
        caller_row{"bamboohead_caller_responses_total", "Responses sent as a whole.",
                   &async_http_counters::responses},
        caller_row{"bamboohead_caller_disconnects_total",
                   "Requests whose connection ended before they were answered.",
                   &async_http_counters::disconnects},
        caller_row{"bamboohead_caller_early_disconnects_total",
                   "Jobs whose connection had ended before their submission was handled.",
                   &async_http_counters::earlyDisconnects},
        caller_row{"bamboohead_caller_cut_receiving_total",
                   "Connections closed by the entry after it had read a part of a request.",
                   &async_http_counters::cutReceiving},
        caller_row{"bamboohead_caller_cut_sending_total",
                   "Responses whose connection ended before they were sent as a whole.",
                   &async_http_counters::cutSending},
        caller_row{"bamboohead_caller_over_limit_total",
                   "Connections closed because too many were open.",
                   &async_http_counters::overLimit},
        caller_row{"bamboohead_caller_over_budget_total",
                   "Requests refused before they were received as a whole, to free memory.",
                   &async_http_counters::overBudget},
        caller_row{"bamboohead_caller_receive_timeouts_total",
                   "Requests that were not received as a whole within the time limit.",
                   &async_http_counters::receiveTimeouts},
        caller_row{"bamboohead_caller_displaced_total",
                   "Stalled or idle connections closed to make room for others.",
                   &async_http_counters::displaced},
};

constexpr std::array dispatchEntryRows{
        dispatch_entry_row{"bamboohead_dispatch_jobs_submitted_total",
                           "Jobs submitted to this entry.", &dispatch_entry_counters::submitted},
        dispatch_entry_row{"bamboohead_dispatch_jobs_succeeded_total",
                           "Jobs whose tasks all succeeded.", &dispatch_entry_counters::succeeded},
        dispatch_entry_row{"bamboohead_dispatch_jobs_failed_total",
                           "Jobs that failed because a task used up its attempts or was given up.",
                           &dispatch_entry_counters::failed},
        dispatch_entry_row{"bamboohead_dispatch_jobs_refused_total",
                           "Jobs refused before any task started.",
                           &dispatch_entry_counters::refused},
        dispatch_entry_row{"bamboohead_dispatch_jobs_abandoned_total",
                           "Jobs cancelled because all their callers disconnected.",
                           &dispatch_entry_counters::abandoned},
        dispatch_entry_row{"bamboohead_dispatch_jobs_expired_total",
                           "Jobs cancelled at their time limit.",
                           &dispatch_entry_counters::expired},
        dispatch_entry_row{"bamboohead_dispatch_runs_ordered_total", "Run orders sent to agents.",
                           &dispatch_entry_counters::runsOrdered},
        dispatch_entry_row{"bamboohead_dispatch_runs_refused_total",
                           "Run orders that agents refused before the run started.",
                           &dispatch_entry_counters::runsRefused},
        dispatch_entry_row{"bamboohead_dispatch_runs_lost_total",
                           "Runs that ended without a reported result.",
                           &dispatch_entry_counters::runsLost},
        dispatch_entry_row{"bamboohead_dispatch_runs_in_doubt_total",
                           "Runs of silent agents not repeated because their start was in doubt.",
                           &dispatch_entry_counters::runsInDoubt},
        dispatch_entry_row{"bamboohead_dispatch_tasks_bound_total",
                           "Tasks bound to a target that may still execute an earlier start.",
                           &dispatch_entry_counters::tasksBound},
        dispatch_entry_row{"bamboohead_dispatch_tasks_given_up_total",
                           "Tasks given up because targets crashed under their runs.",
                           &dispatch_entry_counters::tasksGivenUp},
        dispatch_entry_row{"bamboohead_dispatch_jobs_refused_for_room_total",
                           "Jobs refused because the demand exceeded the room for their route.",
                           &dispatch_entry_counters::refusedForRoom},
        dispatch_entry_row{"bamboohead_dispatch_runs_near_total",
                           "Runs ordered near the data or group of their task.",
                           &dispatch_entry_counters::runsNear},
        dispatch_entry_row{"bamboohead_dispatch_runs_away_total",
                           "Runs ordered away from the data or group of their task.",
                           &dispatch_entry_counters::runsAway},
        dispatch_entry_row{"bamboohead_dispatch_runs_near_after_wait_total",
                           "Runs that may wait for a place near the data or group of their task.",
                           &dispatch_entry_counters::runsNearAfterWait},
};

constexpr std::array dispatchAgentRows{
        dispatch_agent_row{"bamboohead_dispatch_runs_started_total", "Runs started on the target.",
                           &dispatch_agent_counters::started},
        dispatch_agent_row{"bamboohead_dispatch_runs_done_total", "Runs that succeeded.",
                           &dispatch_agent_counters::done},
        dispatch_agent_row{"bamboohead_dispatch_runs_not_done_total",
                           "Runs that failed, were stopped or were lost.",
                           &dispatch_agent_counters::notDone},
        dispatch_agent_row{"bamboohead_dispatch_orders_refused_total",
                           "Run orders refused before the run started.",
                           &dispatch_agent_counters::refused},
        dispatch_agent_row{"bamboohead_dispatch_target_crashes_total",
                           "Crashes of the target while it was running tasks.",
                           &dispatch_agent_counters::crashes},
        dispatch_agent_row{"bamboohead_dispatch_state_reads_total",
                           "Reads of the desired state because no entry had read it recently.",
                           &dispatch_agent_counters::stateReads},
        dispatch_agent_row{"bamboohead_dispatch_state_reads_failed_total",
                           "Failed reads of the desired state.",
                           &dispatch_agent_counters::stateReadsFailed},
        dispatch_agent_row{"bamboohead_dispatch_runs_returned_total",
                           "Queued runs returned because they had waited for too long.",
                           &dispatch_agent_counters::runsReturned},
};

/// Prometheus counters of one counter structure. They are created by the first update, so a process
/// exports only the counters of its role.
template <typename Counters, std::size_t Size>
class counter_group
{
public:
    explicit counter_group(const std::array<counter_row<Counters>, Size> &rows)
        : m_rows{rows}
    {}

    void update(prometheus::Registry &registry, const Counters &counters)
    {
        if (m_counters.empty()) {
            create(registry);
        }
        for (std::size_t i = 0; i < Size; ++i) {
            const auto increase = counters.*m_rows[i].member - m_previous.*m_rows[i].member;
            if (increase != 0) {
                m_counters[i]->Increment(static_cast<double>(increase));
            }
        }
        m_previous = counters;
    }

private:
    void create(prometheus::Registry &registry)
    {
        for (const auto &row : m_rows) {
            auto &family =
                    prometheus::BuildCounter().Name(row.name).Help(row.help).Register(registry);
            m_counters.push_back(&family.Add({}));
        }
    }

    const std::array<counter_row<Counters>, Size> &m_rows;
    std::vector<prometheus::Counter *> m_counters;
    Counters m_previous;
};

/// Messages and bytes of one direction, labelled by message kind. A kind appears after its first
/// message.
class traffic_group
{
public:
    traffic_group(prometheus::Registry &registry, const std::string &direction)
        : m_messages{prometheus::BuildCounter()
                             .Name("bamboohead_kind_messages_" + direction + "_total")
                             .Help("Messages by kind.")
                             .Register(registry)}
        , m_bytes{prometheus::BuildCounter()
                          .Name("bamboohead_kind_bytes_" + direction + "_total")
                          .Help("Bytes of encoded envelopes by message kind, without framing.")
                          .Register(registry)}
    {}

    void update(const traffic_by_kind &traffic)
    {
        for (std::size_t kind = 0; kind < traffic.size(); ++kind) {
            const auto messages = traffic[kind].messages - m_previous[kind].messages;
            const auto bytes = traffic[kind].bytes - m_previous[kind].bytes;
            if (messages != 0) {
                const prometheus::Labels labels{{"kind", std::string{messageKinds[kind]}}};
                m_messages.Add(labels).Increment(static_cast<double>(messages));
                m_bytes.Add(labels).Increment(static_cast<double>(bytes));
            }
        }
        m_previous = traffic;
    }

private:
    prometheus::Family<prometheus::Counter> &m_messages;
    prometheus::Family<prometheus::Counter> &m_bytes;
    traffic_by_kind m_previous;
};

/// Bucket boundaries in seconds.
/// @{
prometheus::Histogram::BucketBoundaries taskBuckets()
{
    return {0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2, 3, 5, 10, 30};
}

prometheus::Histogram::BucketBoundaries loopBuckets()
{
    return {0.0001, 0.0002, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 1};
}
/// @}

prometheus::Histogram &makeHistogram(prometheus::Registry &registry, const char *name,
                                     const char *help,
                                     const prometheus::Histogram::BucketBoundaries &boundaries)
{
    return prometheus::BuildHistogram().Name(name).Help(help).Register(registry).Add({},
                                                                                     boundaries);
}

double seconds(duration time)
{
    return std::chrono::duration<double>{time}.count();
}

} // namespace

class process_metrics::implementation
{
public:
    prometheus::Registry registry;
    counter_group<entry_counters, entryRows.size()> entry{entryRows};
    counter_group<agent_counters, agentRows.size()> agent{agentRows};
    counter_group<transport_counters, transportRows.size()> messages{transportRows};
    counter_group<dispatch_entry_counters, dispatchEntryRows.size()> dispatchEntry{
            dispatchEntryRows};
    counter_group<dispatch_agent_counters, dispatchAgentRows.size()> dispatchAgent{
            dispatchAgentRows};
    counter_group<async_http_counters, callerRows.size()> callers{callerRows};
    traffic_group sentTraffic{registry, "sent"};
    traffic_group receivedTraffic{registry, "received"};
    // Every process exports the histograms. Only entries observe `response`, only agents observe
    // `task`, and the dispatch processes never observe `loop`.
    prometheus::Histogram &response{makeHistogram(
            registry, "bamboohead_job_response_seconds",
            "Time from the arrival of a submission to its answer, for jobs whose callers wait.",
            taskBuckets())};
    prometheus::Histogram &task{
            makeHistogram(registry, "bamboohead_task_run_seconds",
                          "Run time of started tasks as measured by the agent; for "
                          "dispatch-agent, of succeeded runs only.",
                          taskBuckets())};
    prometheus::Histogram &loop{makeHistogram(
            registry, "bamboohead_control_loop_seconds",
            "Processing time of one pass of the control loop, without its wait.", loopBuckets())};
};

process_metrics::process_metrics()
    : m_impl{std::make_unique<implementation>()}
{}

process_metrics::~process_metrics() = default;

void process_metrics::update(const entry_counters &counters)
{
    m_impl->entry.update(m_impl->registry, counters);
}

void process_metrics::update(const agent_counters &counters)
{
    m_impl->agent.update(m_impl->registry, counters);
}

void process_metrics::update(const transport_counters &counters)
{
    m_impl->messages.update(m_impl->registry, counters);
    m_impl->sentTraffic.update(counters.sentByKind);
    m_impl->receivedTraffic.update(counters.receivedByKind);
}

void process_metrics::update(const dispatch_entry_counters &counters)
{
    m_impl->dispatchEntry.update(m_impl->registry, counters);
}

void process_metrics::update(const dispatch_agent_counters &counters)
{
    m_impl->dispatchAgent.update(m_impl->registry, counters);
}

void process_metrics::update(const async_http_counters &counters)
{
    m_impl->callers.update(m_impl->registry, counters);
}

void process_metrics::observeResponse(duration time)
{
    m_impl->response.Observe(seconds(time));
}

void process_metrics::observeTask(duration time)
{
    m_impl->task.Observe(seconds(time));
}

void process_metrics::observeLoop(duration time)
{
    m_impl->loop.Observe(seconds(time));
}

std::string process_metrics::serialize() const
{
    return prometheus::TextSerializer{}.Serialize(m_impl->registry.Collect());
}

} // namespace bamboohead
