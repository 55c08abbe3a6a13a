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

/// @brief A caller that waits at this entry, or a request that another entry forwarded.
struct waiter
{
    incarnation_id entry = incarnation_id::none; ///< none: a local caller
    std::uint64_t request = 0;
    bool wait = true; ///< false: answer as soon as the job is accepted

    bool operator==(const waiter &) const = default;
};

struct waiter_hash
{
    std::size_t operator()(const waiter &held) const noexcept
    {
        constexpr std::uint64_t spread = 0x9e3779b97f4a7c15ULL;
        const auto entry = static_cast<std::uint64_t>(held.entry);
        return (entry * spread) ^ (held.request * 2 + (held.wait ? 1U : 0U));
    }
};

enum class task_phase : std::uint8_t { waiting, ordered, finished };

struct job_record;

/// @brief One task of an unfinished job.
struct task_record
{
    job_record *job = nullptr;
    std::uint32_t index = 0;
    std::uint32_t attempt = 1; ///< of the present or the next order
    task_phase phase = task_phase::waiting;
    incarnation_id agent = incarnation_id::none;
    time_point watchedSince; ///< last update, or last query
    std::string result;
    list_hook watchHook; ///< orders by time of the last update or query
    list_hook agentHook; ///< orders of one agent
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
    recording, ///< primary: waits for the backup's acknowledgement
    running,   ///< tasks wait or run
    closing,   ///< primary: nothing was ordered; waits for the proof that the record is gone
    record,    ///< backup: copy of a job of the primary
    fencing,   ///< backup: taken over, fence reports are collected
    ended,     ///< the answer is held
};

/// @brief Name of a phase in the state dump.
[[nodiscard]] std::string_view toText(job_phase phase) noexcept;

/// @brief One job: the primary's, the backup's copy of it, or one resumed by the backup.
struct job_record
{
    job_submission submission;
    time_point submitted;
    time_point deadline;
    time_point phaseSince; ///< start of `recording`, `closing` or `ended`
    time_point closeSent;
    job_phase phase = job_phase::recording;
    home_owner owner = home_owner::primary;
    bool recordSent = false;
    std::uint64_t homeOrder = 0;  ///< place among the jobs of the home
    std::uint64_t closeOrder = 0; ///< place among the closes of the home; 0: not closed
    bool replicated = false;
    bool orderSent = false;
    bool queued = false; ///< in the ready queue
    bool taskFailed = false;
    std::uint32_t finished = 0;
    std::uint32_t usage = 0; ///< tasks counted in admission
    std::vector<task_record> tasks;
    std::vector<std::uint32_t> waiting; ///< indexes of waiting tasks; the last one starts next
    std::vector<waiter> waiters;
    job_answer answer;
    list_hook phaseHook;     ///< list of `recording`, `closing` or `ended` jobs, by phaseSince
    list_hook closeHook;     ///< closes without acknowledgement, by closeSent
    list_hook homeHook;      ///< unfinished jobs of one home
    list_hook homeCloseHook; ///< unacknowledged closes of one home, by closeOrder
    set_hook deadlineHook;   ///< unfinished jobs by deadline

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
