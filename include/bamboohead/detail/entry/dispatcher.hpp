#pragma once

#include "bamboohead/detail/entry/context.hpp"

namespace bamboohead::detail {

/// @brief Places waiting tasks on agents while there are credits, and batches the orders.
class dispatcher
{
public:
    explicit dispatcher(entry_context &context)
        : m_ctx{context}
    {}

    /// @brief The job has waiting tasks that may start.
    void enqueue(job_record &job);
    /// @brief No further task of the job may start.
    void dequeue(job_record &job);
    /// @brief A refused task waits again.
    void returned(task_record &task);

    /// @brief Places tasks and sends the batches. Runs once after each batch of inputs.
    void run();

    /// @brief Whether the agent may get orders now, apart from the scope of a home.
    [[nodiscard]] bool usable(agent_record &agent);
    void fillDemand(google::protobuf::RepeatedPtrField<wire::Demand> &out) const;
    [[nodiscard]] bool hasDemand(std::string_view service) const;

private:
    using home_batch = std::pair<job_home, wire::Envelope>;

    void place(const std::string &service);
    /// @brief Starts the next task of the job. @return False when no agent takes it now.
    bool startNext(job_record &job);
    void order(job_record &job, agent_record &agent);
    void pushJob(job_record &job);
    void countReady(const job_record &job, int change);
    void sendBatches();
    void tellDemand();

    entry_context &m_ctx;
    std::uint64_t m_round = 1;
    wire::StartTasks &batchOf(incarnation_id agent, const job_home &home);

    /// @brief Number of jobs with waiting tasks by service and home.
    std::map<std::string, std::unordered_map<job_home, std::uint32_t>, std::less<>> m_readyHomes;
    std::map<incarnation_id, std::vector<home_batch>> m_batches;
    time_point m_demandChecked;
};

} // namespace bamboohead::detail
