#include "etcd_messages.hpp"

#include "base64.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <charconv>

namespace bamboohead::detail {

namespace {

namespace json = boost::json;

std::string toDecimal(store_revision revision)
{
    return std::to_string(static_cast<std::uint64_t>(revision));
}

std::optional<json::object> parseObject(std::string_view body)
{
    json::error_code error;
    auto value = json::parse({body.data(), body.size()}, error);
    if (error || !value.is_object()) {
        return std::nullopt;
    }
    return std::move(value.get_object());
}

const json::object *objectMember(const json::object &object, std::string_view key)
{
    const auto *value = object.if_contains({key.data(), key.size()});
    return value == nullptr ? nullptr : value->if_object();
}

const json::array *arrayMember(const json::object &object, std::string_view key)
{
    const auto *value = object.if_contains({key.data(), key.size()});
    return value == nullptr ? nullptr : value->if_array();
}

std::string_view stringMember(const json::object &object, std::string_view key)
{
    const auto *value = object.if_contains({key.data(), key.size()});
    const auto *text = value == nullptr ? nullptr : value->if_string();
    return text == nullptr ? std::string_view{} : std::string_view{text->data(), text->size()};
}

bool trueMember(const json::object &object, std::string_view key)
{
    const auto *value = object.if_contains({key.data(), key.size()});
    return value != nullptr && value->is_bool() && value->get_bool();
}

std::optional<store_revision> revisionMember(const json::object &object, std::string_view key)
{
    const auto text = stringMember(object, key);
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || error != std::errc{} || end != text.data() + text.size() || value == 0) {
        return std::nullopt;
    }
    return store_revision{value};
}

std::optional<store_value> parseKeyValue(const json::object &pair)
{
    const auto modified = revisionMember(pair, "mod_revision");
    auto text = decodeBase64(stringMember(pair, "value"));
    if (!modified || !text) {
        return std::nullopt;
    }
    return store_value{*modified, std::move(*text)};
}

std::optional<store_value> parseEvent(const json::value &event)
{
    const auto *object = event.if_object();
    if (object == nullptr) {
        return std::nullopt;
    }
    if (stringMember(*object, "type") == "DELETE") {
        return store_value{};
    }
    const auto *pair = objectMember(*object, "kv");
    return pair == nullptr ? std::nullopt : parseKeyValue(*pair);
}

} // namespace

std::string rangeRequest(std::string_view key)
{
    return json::serialize(json::object{{"key", encodeBase64(key)}});
}

std::string swapRequest(std::string_view key, store_revision expected, std::string_view text)
{
    json::object compare{{"key", encodeBase64(key)}, {"result", "EQUAL"}};
    if (expected == store_revision::none) {
        compare["target"] = "CREATE";
        compare["create_revision"] = "0";
    } else {
        compare["target"] = "MOD";
        compare["mod_revision"] = toDecimal(expected);
    }
    const json::object put{{"key", encodeBase64(key)}, {"value", encodeBase64(text)}};
    return json::serialize(json::object{
            {"compare", json::array{compare}},
            {"success", json::array{json::object{{"request_put", put}}}},
    });
}

std::string watchRequest(std::string_view key)
{
    const json::object create{{"key", encodeBase64(key)}};
    return json::serialize(json::object{{"create_request", create}});
}

std::optional<store_value> parseRangeResponse(std::string_view body)
{
    const auto response = parseObject(body);
    if (!response || objectMember(*response, "header") == nullptr) {
        return std::nullopt;
    }
    const auto *pairs = arrayMember(*response, "kvs");
    if (pairs == nullptr || pairs->empty()) {
        return store_value{};
    }
    const auto *pair = pairs->front().if_object();
    return pair == nullptr ? std::nullopt : parseKeyValue(*pair);
}

std::optional<swap_response> parseSwapResponse(std::string_view body)
{
    const auto response = parseObject(body);
    const auto *header = response ? objectMember(*response, "header") : nullptr;
    const auto revision = header == nullptr ? std::nullopt : revisionMember(*header, "revision");
    if (!revision) {
        return std::nullopt;
    }
    return swap_response{trueMember(*response, "succeeded"), *revision};
}

std::optional<watch_response> parseWatchLine(std::string_view line)
{
    const auto response = parseObject(line);
    if (!response) {
        return std::nullopt;
    }
    watch_response result;
    const auto *body = objectMember(*response, "result");
    result.ended = body == nullptr || trueMember(*body, "canceled");
    const auto *events = body == nullptr ? nullptr : arrayMember(*body, "events");
    if (events == nullptr) {
        return result;
    }
    for (const auto &event : *events) {
        auto value = parseEvent(event);
        if (!value) {
            return std::nullopt;
        }
        result.values.push_back(std::move(*value));
    }
    return result;
}

} // namespace bamboohead::detail
