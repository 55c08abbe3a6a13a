#include "dispatch/simulated_store.hpp"

#include <algorithm>
#include <ranges>

namespace bamboohead::dispatch_test {

namespace {

const std::string zoneOutPrefix = "zone-out/";

} // namespace

std::string zoneOutKey(const std::string &zone)
{
    return zoneOutPrefix + zone;
}

desired_state decodeItems(const desired_state &base,
                          const std::map<std::string, std::string> &items, std::uint64_t revision)
{
    auto state = base;
    state.revision = revision;
    for (const auto &[key, value] : items) {
        if (key.starts_with(zoneOutPrefix)) {
            state.zonesOut.push_back(key.substr(zoneOutPrefix.size()));
        }
    }
    return state;
}

void simulated_store::write(const std::string &key, std::optional<std::string> value)
{
    ++m_revision;
    const store_item item{key, value.value_or(""), m_revision, !value};
    m_history.push_back(item);
    if (value) {
        m_items.insert_or_assign(key, item);
    } else {
        m_items.erase(key);
    }
    for (const auto &watch : std::exchange(m_watches, {})) {
        watch.reply(eventsSince(watch.call));
    }
}

void simulated_store::call(const std::string &process, const store_request &request, time_point now,
                           reply_handler reply)
{
    if (const auto *const watch = std::get_if<watch_area>(&request)) {
        auto events = eventsSince(*watch);
        if (!events.items.empty()) {
            reply(events);
            return;
        }
        m_watches.push_back({process, *watch, now + watch->wait, std::move(reply)});
        return;
    }
    store_reply made;
    made.status = store_status::ok;
    made.revision = m_revision;
    made.id = std::visit([](const auto &typed) { return typed.header.id; }, request);
    if (const auto *const list = std::get_if<list_area>(&request);
        list != nullptr && list->area == store_area::configuration) {
        ++m_lists[process];
        for (const auto &[key, item] : m_items) {
            made.items.push_back(item);
        }
    }
    reply(made);
}

void simulated_store::tick(time_point now)
{
    const auto due = [&](const waiting_watch &watch) { return watch.end <= now; };
    std::vector<waiting_watch> ended;
    std::ranges::copy_if(m_watches, std::back_inserter(ended), due);
    std::erase_if(m_watches, due);
    for (const auto &watch : ended) {
        watch.reply(eventsSince(watch.call));
    }
}

void simulated_store::dropWatches(const std::string &process)
{
    std::erase_if(m_watches, [&](const waiting_watch &watch) { return watch.process == process; });
}

std::size_t simulated_store::lists(const std::string &process) const
{
    const auto found = m_lists.find(process);
    return found == m_lists.end() ? 0 : found->second;
}

store_reply simulated_store::eventsSince(const watch_area &watch) const
{
    store_reply made;
    made.id = watch.header.id;
    made.status = store_status::ok;
    made.revision = m_revision;
    if (watch.area == store_area::configuration) {
        std::ranges::copy_if(m_history, std::back_inserter(made.items),
                             [&](const auto &item) { return item.revision > watch.revision; });
    }
    return made;
}

} // namespace bamboohead::dispatch_test
