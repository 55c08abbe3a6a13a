#include "message_feed.hpp"

#include "bamboohead/entry_core.hpp"

#include <boost/json.hpp>

#include <set>

namespace bamboohead::fuzz {

namespace {

constexpr std::uint64_t maxSlots = 256;
constexpr std::uint32_t ownSlots = 4;
/// Simulated time without messages. Longer than the 2 s after which a silent peer counts as failed.
constexpr duration silenceTime = std::chrono::seconds{3};

/// Whether a job is outside the limits. Does not use withinLimits(), which is under test.
bool exceedsLimits(const wire::JobSubmission &job)
{
    bool result = job.tasks_size() == 0 || job.tasks_size() > 1200;
    for (const auto &task : job.tasks()) {
        result = result || task.payload().size() > 4096;
    }
    return result;
}

/// An entry that has a backup, an agent and one job before the messages of an input are delivered.
class entry_under_test
{
public:
    entry_under_test()
        : m_core{options(), m_clock}
    {
        wire::Envelope peer;
        peer.mutable_entry_heartbeat()->set_config_version(1);
        peer.mutable_entry_heartbeat()->set_current(true);
        wire::Envelope agent;
        agent.mutable_agent_heartbeat()->set_service("quote");
        agent.mutable_agent_heartbeat()->set_slots(ownSlots);
        agent.mutable_agent_heartbeat()->set_config_version(1);
        agent.mutable_agent_heartbeat()->set_credit_epoch(1);
        agent.mutable_agent_heartbeat()->set_issued_total(2);
        m_core.handleStoreRead(config_version{1}, testManifest, m_clock.now());
        address(peer, false, true, m_clock.now());
        m_core.receive(peer);
        address(agent, true, true, m_clock.now());
        m_core.receive(agent);
        submitOwnJob();
        step();
    }

    /// Delivers a message and checks the actions and the state of the entry.
    void handleMessage(const feed_message &message)
    {
        m_clock.advance(message.advance);
        if ((message.flags & flag_stop) != 0) {
            m_core.stop();
        }
        const auto held = unfinishedJobs();
        m_recordAcknowledged = false;
        m_core.receive(message.envelope);
        step();
        checkJobLimits(message.envelope, held);
        if ((message.flags & flag_dump_or_announce) != 0) {
            checkDump();
        }
    }

    /// Without messages for silenceTime, no peer may count as alive, whatever its earlier messages
    /// contained. While the entry holds testManifest, it must not count itself as current either.
    void finish()
    {
        checkDump();
        m_clock.advance(silenceTime);
        step();
        const auto state = m_core.dump();
        for (const auto *const list : {"entries", "agents"}) {
            for (const auto &peer : state.at(list).as_array()) {
                require(!peer.at("alive").as_bool(), "peer counts as alive without messages");
            }
        }
        // A manifest that was pushed may name a single zone. Its entry needs no confirmation by an
        // entry of another zone to be current.
        const bool ownManifest = state.at("config_version").to_number<std::uint64_t>() == 1;
        require(!ownManifest || !state.at("current").as_bool(),
                "entry counts as current without confirmation by another entry");
    }

private:
    static entry_options options()
    {
        entry_options result;
        result.self = process_identity{incarnation_id{selfIncarnation}, "tcp://127.0.0.1:1",
                                       wire::ROLE_ENTRY, "graz"};
        result.maxJobs = 50;
        return result;
    }

    void submitOwnJob()
    {
        m_core.openSession(caller_request{1});
        job_submission job;
        job.id = job_id{session_id{{incarnation_id{selfIncarnation}, incarnation_id{peerEntry}}, 1},
                        1};
        job.team = "growers";
        job.service = "quote";
        job.payloads = {"a", "b", "c"};
        job.hash = hashContent(job);
        m_core.submit(caller_request{2}, std::move(job), true);
        m_callers = {1, 2};
    }

    void step()
    {
        m_core.tick();
        for (const auto &action : m_core.takeActions()) {
            if (const auto *const answer = std::get_if<answer_caller>(&action)) {
                checkAnswer(*answer);
            } else if (const auto *const message = std::get_if<send_message>(&action)) {
                checkSent(message->envelope);
            }
        }
    }

    void checkAnswer(const answer_caller &answer)
    {
        require(m_callers.erase(static_cast<std::uint64_t>(answer.request)) == 1,
                "answer to a request that is not open");
        const bool isComplete = answer.answer.outcome == job_outcome::complete;
        require(answer.answer.results.size() <= (isComplete ? maxTasksPerJob : 0),
                "answer with too many results");
        require(answer.answer.outcome != job_outcome::refused || !answer.answer.mayHaveRun,
                "refused job that may have run");
    }

    void checkSent(const wire::Envelope &envelope)
    {
        m_recordAcknowledged = m_recordAcknowledged || envelope.has_record_ack();
        for (const auto &order : envelope.start_tasks().orders()) {
            require(order.payload().size() <= maxPayloadBytes,
                    "order with a payload above the limit");
            require(order.ref().task() < maxTasksPerJob,
                    "order with a task number above the limit");
        }
        for (const auto &demand : envelope.entry_heartbeat().demand()) {
            require(demand.waiting() <= 50 * maxTasksPerJob,
                    "demand above the limit of waiting tasks");
        }
    }

    void checkJobLimits(const wire::Envelope &envelope, std::uint64_t heldBefore)
    {
        if (envelope.has_record_put() && exceedsLimits(envelope.record_put().job())) {
            require(!m_recordAcknowledged, "acknowledged record of a job outside the limits");
        }
        const auto &forward = envelope.job_forward();
        if (envelope.has_job_forward() && forward.verb() == 1 && exceedsLimits(forward.job())) {
            require(unfinishedJobs() <= heldBefore, "accepted job outside the limits");
        }
    }

    std::uint64_t unfinishedJobs() const
    {
        return m_core.dump().at("unfinished_jobs").to_number<std::uint64_t>();
    }

    void checkDump()
    {
        const auto state = m_core.dump();
        for (const auto &agent : state.at("agents").as_array()) {
            require(agent.at("slots").to_number<std::uint64_t>() <= maxSlots,
                    "agent with more slots than the limit");
        }
        // 20 times the limit of unfinished jobs (maxJobs) that options() sets.
        require(state.at("unfinished_jobs").to_number<std::uint64_t>() <= 1'000,
                "more than 1,000 unfinished jobs");
    }

    manual_clock m_clock;
    entry_core m_core;
    std::set<std::uint64_t> m_callers; ///< requests without an answer
    bool m_recordAcknowledged = false; ///< by a reply to the message that is being handled
};

} // namespace

void fuzzEntryMessages(input_bytes bytes)
{
    manual_clock clock;
    entry_under_test entry;
    message_feed feed{bytes};
    while (auto message = feed.next(clock)) {
        clock.advance(message->advance);
        entry.handleMessage(*message);
    }
    entry.finish();
}

} // namespace bamboohead::fuzz
