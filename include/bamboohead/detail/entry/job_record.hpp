#pragma once

#include "bamboohead/job.hpp"

#include <boost/intrusive/list.hpp>
#include <boost/intrusive/set.hpp>

#include <algorithm>
#include <string>
#include <vector>

namespace bamboohead::detail {

namespace intrusive = boost::intrusive;

using list_hook = intrusive::list_member_hook<intrusive::link_mode<intrusive::auto_unlink>>;
using set_hook = intrusive::set_member_hook<intrusive::link_mode<intrusive::auto_unlink>>;

/// @brief A request to be answered later, either when its job has ended or when the job is
///        accepted. It comes from a local caller, or was forwarded by another entry.
struct waiter
{
    incarnation_id entry = incarnation_id::none; ///< forwarding entry; none for a local caller
    std::uint64_t request = 0;                   ///< number of the request at that entry
    bool wait = true; ///< true: answer when the job has ended; false: when it is accepted

    bool operator==(const waiter &) const = default;
};

struct waiter_hash
{
    std::size_t operator()(const waiter &value) const noexcept
    {
        constexpr std::uint64_t spread = 0x9e3779b97f4a7c15ULL;
        const auto entry = static_cast<std::uint64_t>(value.entry);
        return (entry * spread) ^ (value.request * 2 + (value.wait ? 1U : 0U));
    }
};

enum class task_phase : std::uint8_t {
    waiting, ///< not placed yet, or its order was refused
    ordered, ///< an order for the task was sent to an agent
    finished ///< the agent has reported the result
};

struct job_record;

/// @brief One task of an unfinished job.
struct task_record
{
    job_record *job = nullptr;
    std::uint32_t index = 0;
    std::uint32_t attempt = 1; ///< attempt number of the current order, or of the next one
    task_phase phase = task_phase::waiting;
    incarnation_id agent = incarnation_id::none;
    time_point watchedSince; ///< time of the last order, update or query
    std::string result;
    list_hook watchHook; ///< in a list of ordered tasks, by `watchedSince`
    list_hook agentHook; ///< in agent_record::orders
};

using watch_list =
        intrusive::list<task_record,
                        intrusive::member_hook<task_record, list_hook, &task_record::watchHook>,
                        intrusive::constant_time_size<false>>;
using agent_orders =
        intrusive::list<task_record,
                        intrusive::member_hook<task_record, list_hook, &task_record::agentHook>,
                        intrusive::constant_time_size<false>>;

enum class job_phase : std::uint8_t {
    recording, ///< primary: waits for the backup to acknowledge the record
    running,   ///< tasks are waiting or ordered
    closing,   ///< primary: ends without any order; waits for the backup to acknowledge the close
    record,    ///< backup: stored copy of a job that the primary runs
    fencing,   ///< backup: home is being taken over, fence reports are collected
    ended,     ///< only the answer is kept
};

/// @brief Name of a phase as it appears in the state dump.
[[nodiscard]] std::string_view toText(job_phase phase) noexcept;

/// @brief A job at its primary, its copy at the backup, or a job that the backup has resumed.
///
/// In messages, phases and comments, a record is the copy at the backup. A close is the message
/// that reports the job's answer to the backup.
struct job_record
{
    job_submission submission;
    time_point submitted;
    time_point deadline;
    time_point phaseSince; ///< start of the current phase
    time_point closeSent;
    job_phase phase = job_phase::recording;
    home_owner owner = home_owner::primary;
    bool recordSent = false;         ///< the backup may have the record
    std::uint64_t homeSequence = 0;  ///< position among the jobs of the home
    std::uint64_t closeSequence = 0; ///< position among the closes of the home; 0: no close sent
    bool replicated = false;         ///< the backup has acknowledged the record; nothing reads it
    bool orderSent = false;          ///< a task of the job may have run
    bool queued = false;             ///< in the ready queue
    bool taskFailed = false;         ///< unused
    std::uint32_t finished = 0;      ///< number of tasks with a result
    std::uint32_t usage = 0;         ///< unfinished tasks that admission counts for the team
    std::vector<task_record> tasks;
    std::vector<std::uint32_t> waiting; ///< indexes of waiting tasks; the last one starts next
    std::vector<waiter> waiters;
    job_answer answer;
    list_hook phaseHook;     ///< list of `recording`, `closing` or `ended` jobs, by phaseSince
    list_hook closeHook;     ///< jobs with an unacknowledged close, by closeSent
    list_hook homeHook;      ///< unfinished jobs of one home, by homeSequence
    list_hook homeCloseHook; ///< jobs of one home with an unacknowledged close, by closeSequence
    set_hook deadlineHook;   ///< jobs in `recording`, `running` or `fencing`, by deadline

    [[nodiscard]] const job_id &id() const noexcept { return submission.id; }
    [[nodiscard]] const job_home &home() const noexcept { return submission.id.session.home; }
};

using phase_list =
        intrusive::list<job_record,
                        intrusive::member_hook<job_record, list_hook, &job_record::phaseHook>,
                        intrusive::constant_time_size<false>>;
using close_list =
        intrusive::list<job_record,
                        intrusive::member_hook<job_record, list_hook, &job_record::closeHook>,
                        intrusive::constant_time_size<false>>;
using home_jobs =
        intrusive::list<job_record,
                        intrusive::member_hook<job_record, list_hook, &job_record::homeHook>,
                        intrusive::constant_time_size<false>>;

using home_closes =
        intrusive::list<job_record,
                        intrusive::member_hook<job_record, list_hook, &job_record::homeCloseHook>,
                        intrusive::constant_time_size<false>>;

struct earlier_deadline
{
    bool operator()(const job_record &a, const job_record &b) const noexcept
    {
        return a.deadline < b.deadline;
    }
};

using deadline_set = intrusive::multiset<
        job_record, intrusive::member_hook<job_record, set_hook, &job_record::deadlineHook>,
        intrusive::compare<earlier_deadline>, intrusive::constant_time_size<false>>;

} // namespace bamboohead::detail
