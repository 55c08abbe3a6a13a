#include "bamboohead/wire.hpp"

namespace bamboohead {

job_home fromWire(const wire::Home &home)
{
    return job_home{incarnation_id{home.primary()}, incarnation_id{home.backup()}};
}

job_id fromWire(const wire::JobId &id)
{
    return job_id{session_id{fromWire(id.home()), id.session()}, id.number()};
}

task_ref fromWire(const wire::TaskRef &ref)
{
    return task_ref{fromWire(ref.job()), ref.task(), ref.attempt()};
}

void toWire(const job_home &home, wire::Home &out)
{
    out.set_primary(static_cast<std::uint64_t>(home.primary));
    out.set_backup(static_cast<std::uint64_t>(home.backup));
}

void toWire(const job_id &id, wire::JobId &out)
{
    toWire(id.session.home, *out.mutable_home());
    out.set_session(id.session.value);
    out.set_number(id.number);
}

void toWire(const task_ref &ref, wire::TaskRef &out)
{
    toWire(ref.job, *out.mutable_job());
    out.set_task(ref.task);
    out.set_attempt(ref.attempt);
}

error_kind errorFromWire(std::uint32_t number) noexcept
{
    return errorKindFromNumber(number).value_or(error_kind::internal);
}

std::size_t messageKind(const wire::Envelope &envelope) noexcept
{
    static_assert(messageKinds.size() == wire::Envelope::kEntrySync - wire::Envelope::kHello + 1);
    const auto payload = envelope.payload_case();
    return payload < wire::Envelope::kHello
                   ? messageKinds.size()
                   : static_cast<std::size_t>(payload - wire::Envelope::kHello);
}

} // namespace bamboohead
