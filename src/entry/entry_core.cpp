#include "bamboohead/entry_core.hpp"

#include "bamboohead/detail/entry/backup_replication.hpp"
#include "bamboohead/detail/entry/dispatcher.hpp"
#include "bamboohead/detail/entry/dump.hpp"
#include "bamboohead/detail/entry/forwarder.hpp"
#include "bamboohead/detail/entry/job_manager.hpp"
#include "bamboohead/detail/entry/membership.hpp"
#include "bamboohead/detail/entry/order_tracker.hpp"
#include "bamboohead/detail/entry/primary_replication.hpp"
#include "bamboohead/detail/entry/shutdown.hpp"
#include "bamboohead/detail/entry/takeover.hpp"

namespace bamboohead {

class entry_core::implementation
{
public:
    implementation(entry_options options, const clock &clock)
        : ctx{std::move(options), clock}
        , lastTick{clock.now()}
    {
        ctx.members = &members;
        ctx.manager = &manager;
        ctx.replication = &replication;
        ctx.takeovers = &takeovers;
        ctx.forwards = &forwards;
        ctx.dispatch = &dispatch;
        ctx.orders = &orders;
    }

    void receive(const wire::Envelope &envelope);
    void receiveFromEntry(const wire::Envelope &envelope, std::optional<duration> age);
    void receiveFromAgent(const wire::Envelope &envelope);
    void tick();

    detail::entry_context ctx;
    detail::membership members{ctx};
    detail::job_manager manager{ctx};
    detail::primary_replication replication{ctx};
    detail::backup_replication backups{ctx};
    detail::takeover takeovers{ctx};
    detail::forwarder forwards{ctx};
    detail::dispatcher dispatch{ctx};
    detail::order_tracker orders{ctx};
    detail::shutdown gracefulStop{ctx};
    time_point lastTick;
};

void entry_core::implementation::receive(const wire::Envelope &envelope)
{
    ++ctx.counters.messagesReceived;
    const bool fromSelf = incarnation_id{envelope.sender()} == ctx.self();
    const auto received = fromSelf ? receive_result{} : ctx.links.receive(envelope);
    if (!received.accepted) {
        ++ctx.counters.messagesDropped;
        return;
    }
    if (received.firstContact) {
        members.firstContact(envelope);
    } else {
        members.answerProbe(envelope, received.age);
    }
    if (envelope.role() == wire::ROLE_ENTRY) {
        receiveFromEntry(envelope, received.age);
    } else {
        receiveFromAgent(envelope);
    }
}

void entry_core::implementation::receiveFromEntry(const wire::Envelope &envelope,
                                                  std::optional<duration> age)
{
    const incarnation_id sender{envelope.sender()};
    switch (envelope.payload_case()) {
    case wire::Envelope::kHello:
        members.receiveHello(envelope);
        break;
    case wire::Envelope::kMemberList:
        members.receive(envelope.member_list());
        break;
    case wire::Envelope::kEntryHeartbeat:
        members.receive(envelope, envelope.entry_heartbeat());
        break;
    case wire::Envelope::kRecordPut:
        backups.receive(envelope, age, envelope.record_put());
        break;
    case wire::Envelope::kRecordAck:
        replication.receive(sender, envelope.record_ack());
        break;
    case wire::Envelope::kRecordClose:
        backups.receive(envelope, envelope.record_close());
        break;
    case wire::Envelope::kRecordCloseAck:
        replication.receive(sender, envelope.record_close_ack());
        break;
    case wire::Envelope::kScopeUpdate:
        backups.receive(envelope, age, envelope.scope_update());
        break;
    case wire::Envelope::kScopeAck:
        replication.receive(sender, envelope.scope_ack());
        break;
    case wire::Envelope::kHomeStopping:
        takeovers.receive(sender, envelope.home_stopping());
        break;
    case wire::Envelope::kJobForward:
        forwards.receive(sender, age, envelope.job_forward());
        break;
    case wire::Envelope::kJobReply:
        forwards.receive(envelope.job_reply());
        break;
    case wire::Envelope::kConfigPull:
        members.receive(sender, envelope.config_pull());
        break;
    case wire::Envelope::kConfigPush:
        members.receive(envelope.config_push());
        break;
    default:
        ++ctx.counters.messagesDropped;
    }
}

void entry_core::implementation::receiveFromAgent(const wire::Envelope &envelope)
{
    const incarnation_id sender{envelope.sender()};
    switch (envelope.payload_case()) {
    case wire::Envelope::kHello:
        members.receiveHello(envelope);
        break;
    case wire::Envelope::kAgentHeartbeat:
        members.receive(envelope, envelope.agent_heartbeat());
        break;
    case wire::Envelope::kTaskUpdates:
        orders.receive(sender, envelope.task_updates());
        break;
    case wire::Envelope::kFenceReport:
        takeovers.receive(sender, envelope.fence_report());
        break;
    case wire::Envelope::kConfigPull:
        members.receive(sender, envelope.config_pull());
        break;
    case wire::Envelope::kConfigPush:
        members.receive(envelope.config_push());
        break;
    default:
        ++ctx.counters.messagesDropped;
    }
}

void entry_core::implementation::tick()
{
    const auto now = ctx.now();
    if (now - lastTick > detail::selfStallThreshold) {
        ctx.suspectPeersAfter = now + detail::stallGrace;
        ctx.out.log("stalled", {{"us", std::to_string((now - lastTick).count())}});
    }
    lastTick = now;
    members.tick();
    orders.tick();
    takeovers.tick();
    replication.tick();
    manager.tick();
    forwards.tick();
    gracefulStop.tick();
}

namespace {

detail::waiter localCaller(caller_request request, bool wait)
{
    return detail::waiter{incarnation_id::none, static_cast<std::uint64_t>(request), wait};
}

} // namespace

entry_core::entry_core(entry_options options, const clock &clock)
    : m_impl{std::make_unique<implementation>(std::move(options), clock)}
{}

entry_core::~entry_core() = default;

void entry_core::openSession(caller_request request)
{
    m_impl->manager.openSession(request);
}

void entry_core::submit(caller_request request, job_submission job, bool wait)
{
    if (job.hash == content_hash{}) {
        job.hash = hashContent(job);
    }
    m_impl->forwards.submit(localCaller(request, wait), std::move(job));
}

void entry_core::query(caller_request request, const job_id &id, bool wait)
{
    m_impl->forwards.query(localCaller(request, wait), id);
}

void entry_core::cancel(caller_request request, const job_id &id)
{
    m_impl->forwards.cancel(localCaller(request, true), id);
}

void entry_core::callerDisconnected(caller_request request)
{
    m_impl->manager.callerDisconnected(request);
    m_impl->forwards.callerDisconnected(request);
}

void entry_core::receive(const wire::Envelope &envelope)
{
    m_impl->receive(envelope);
}

void entry_core::handleStoreRead(config_version version, const std::string &text, time_point sentAt)
{
    m_impl->members.offer(version, text);
    m_impl->ctx.config.storeConfirmed(version, sentAt);
}

void entry_core::manifestPushed(config_version version, const std::string &text)
{
    m_impl->members.offer(version, text);
}

void entry_core::tick()
{
    m_impl->tick();
}

void entry_core::setSeeds(std::vector<std::string> endpoints)
{
    m_impl->ctx.options.seeds = std::move(endpoints);
}

void entry_core::stop()
{
    m_impl->gracefulStop.begin();
}

std::vector<entry_action> entry_core::takeActions()
{
    // Placing tasks here batches the orders of all inputs since the last call into one message per
    // agent and home.
    m_impl->dispatch.run();
    return m_impl->ctx.out.take();
}

const entry_counters &entry_core::counters() const noexcept
{
    return m_impl->ctx.counters;
}

boost::json::value entry_core::dump() const
{
    return detail::dumpState(m_impl->ctx);
}

} // namespace bamboohead
