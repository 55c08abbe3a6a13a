#include "bamboohead/detail/config/json_scan.hpp"

#include <boost/json/parse.hpp>

namespace bamboohead::detail {

namespace {

class json_scanner
{
public:
    explicit json_scanner(std::string_view text)
        : m_text{text}
    {}

    json_layout run()
    {
        skipBlanks();
        scanValue("");
        return std::move(m_layout);
    }

private:
    [[nodiscard]] char peek() const { return m_at < m_text.size() ? m_text[m_at] : '\0'; }

    void skipBlanks()
    {
        while (m_at < m_text.size()) {
            if (std::string_view{" \t\r\n"}.find(peek()) != std::string_view::npos) {
                ++m_at;
            } else if (peek() == '/') {
                skipComment();
            } else {
                return;
            }
        }
    }

    void skipComment()
    {
        const bool block = m_text.substr(m_at, 2) == "/*";
        const auto end = m_text.find(block ? "*/" : "\n", m_at + 2);
        m_at = end == std::string_view::npos ? m_text.size() : end + (block ? 2 : 1);
    }

    std::string_view scanString()
    {
        const auto begin = m_at++;
        while (m_at < m_text.size() && peek() != '"') {
            m_at += peek() == '\\' ? 2 : 1;
        }
        ++m_at;
        return m_text.substr(begin, m_at - begin);
    }

    void scanScalar()
    {
        const auto end = m_text.find_first_of(" \t\r\n,]}/", m_at);
        m_at = end == std::string_view::npos ? m_text.size() : end;
    }

    void scanValue(const std::string &pointer)
    {
        const auto begin = m_at;
        if (peek() == '{' || peek() == '[') {
            scanMembers(pointer, peek() == '{');
        } else if (peek() == '"') {
            scanString();
        } else {
            scanScalar();
        }
        if (!m_layout.values.insert_or_assign(pointer, json_span{begin, m_at}).second) {
            m_layout.duplicates.push_back(pointer);
        }
    }

    void scanMembers(const std::string &pointer, bool object)
    {
        ++m_at;
        skipBlanks();
        for (std::size_t index = 0; m_at < m_text.size() && peek() != '}' && peek() != ']';
             ++index) {
            scanValue(appendPointer(pointer, object ? scanKey() : std::to_string(index)));
            skipBlanks();
            if (peek() == ',') {
                ++m_at;
                skipBlanks();
            }
        }
        ++m_at;
    }

    std::string scanKey()
    {
        const auto token = scanString();
        skipBlanks();
        ++m_at; // the colon
        skipBlanks();
        const auto key = boost::json::parse({token.data(), token.size()});
        return std::string{key.as_string()};
    }

    std::string_view m_text;
    std::size_t m_at = 0;
    json_layout m_layout;
};

} // namespace

json_layout scanJson(std::string_view text)
{
    return json_scanner{text}.run();
}

std::string appendPointer(std::string_view pointer, std::string_view token)
{
    std::string result{pointer};
    result += '/';
    for (const char letter : token) {
        if (letter == '~') {
            result += "~0";
        } else if (letter == '/') {
            result += "~1";
        } else {
            result += letter;
        }
    }
    return result;
}

} // namespace bamboohead::detail
