#pragma once

#include "bamboohead/detail/entry/context.hpp"

namespace bamboohead::detail {

/// @brief Places waiting tasks on agents that have granted credits, and batches the orders.
///
/// A job is in the ready queue while it has waiting tasks. The number of waiting tasks of a service
/// is reported to agents as demand.
class dispatcher
{
public:
    explicit dispatcher(entry_context &context)
        : m_ctx{context}
    {}

    /// @brief Adds the job to the ready queue, if it has waiting tasks.
    void enqueue(job_record &job);
    /// @brief Removes the job from the ready queue, so that no further task of it starts.
    void dequeue(job_record &job);
    /// @brief Puts a task back into the ready queue after an agent has refused it.
    void requeueTask(task_record &task);

    /// @brief Places tasks and sends the batched orders. Runs once after each batch of inputs.
    void run();

    /// @brief Whether the agent can take orders now. Doesn't check the scope of a home.
    [[nodiscard]] bool usable(agent_record &agent);
    /// @brief Appends the number of waiting tasks of each service that has any.
    void fillDemand(google::protobuf::RepeatedPtrField<wire::Demand> &out) const;
    /// @brief Whether tasks of the service are waiting.
    [[nodiscard]] bool hasDemand(std::string_view service) const;

private:
    using home_batch = std::pair<job_home, wire::Envelope>;

    /// @brief Places waiting tasks of the service while credits are left.
    void place(const std::string &service);
    /// @brief Adds an order for the job's next task to the batch of an agent with credits.
    /// @return False when no usable agent with credits is allowed for the job's home.
    bool startNext(job_record &job);
    /// @brief Adds an order for the job's next task to the agent's batch.
    void addOrder(job_record &job, agent_record &agent);
    /// @brief Puts a job that place() has removed back into the ready queue.
    void requeueJob(job_record &job);
    /// @brief Adds `change` to the count of the job's service and home in `m_readyHomes`.
    void countReady(const job_record &job, int change);
    void sendBatches();
    /// @brief Sends a heartbeat to the agents that have not received the demand for their service
    ///        yet.
    void reportDemand();

    entry_context &m_ctx;
    std::uint64_t m_round = 1; ///< number of run() calls; invalidates agent_record::usableNow
    /// @brief Finds or adds the message with this round's orders of the home to the agent.
    wire::StartTasks &batchOf(incarnation_id agent, const job_home &home);

    /// @brief Number of jobs with waiting tasks by service and home.
    std::map<std::string, std::unordered_map<job_home, std::uint32_t>, std::less<>> m_readyHomes;
    std::map<incarnation_id, std::vector<home_batch>> m_batches;
    time_point m_demandChecked;
};

} // namespace bamboohead::detail
