#include "bamboohead/detail/config/json_scan.hpp"

#include <boost/json/parse.hpp>

namespace bamboohead::detail {

namespace {

/// Single pass over a valid JSON text that records the position of each value. Doesn't validate.
class json_scanner
{
public:
    explicit json_scanner(std::string_view text)
        : m_text{text}
    {}

    json_layout run()
    {
        skipWhitespaceAndComments();
        scanValue("");
        return std::move(m_layout);
    }

private:
    [[nodiscard]] char peek() const
    {
        return m_position < m_text.size() ? m_text[m_position] : '\0';
    }

    void skipWhitespaceAndComments()
    {
        while (m_position < m_text.size()) {
            if (std::string_view{" \t\r\n"}.find(peek()) != std::string_view::npos) {
                ++m_position;
            } else if (peek() == '/') {
                skipComment();
            } else {
                return;
            }
        }
    }

    void skipComment()
    {
        const bool block = m_text.substr(m_position, 2) == "/*";
        const auto end = m_text.find(block ? "*/" : "\n", m_position + 2);
        m_position = end == std::string_view::npos ? m_text.size() : end + (block ? 2 : 1);
    }

    std::string_view scanString()
    {
        const auto begin = m_position++;
        while (m_position < m_text.size() && peek() != '"') {
            m_position += peek() == '\\' ? 2 : 1;
        }
        ++m_position;
        return m_text.substr(begin, m_position - begin);
    }

    void scanScalar()
    {
        const auto end = m_text.find_first_of(" \t\r\n,]}/", m_position);
        m_position = end == std::string_view::npos ? m_text.size() : end;
    }

    void scanValue(const std::string &pointer)
    {
        const auto begin = m_position;
        if (peek() == '{' || peek() == '[') {
            scanMembers(pointer, peek() == '{');
        } else if (peek() == '"') {
            scanString();
        } else {
            scanScalar();
        }
        if (!m_layout.values.insert_or_assign(pointer, json_span{begin, m_position}).second) {
            m_layout.duplicates.push_back(pointer);
        }
    }

    void scanMembers(const std::string &pointer, bool object)
    {
        ++m_position;
        skipWhitespaceAndComments();
        for (std::size_t index = 0; m_position < m_text.size() && peek() != '}' && peek() != ']';
             ++index) {
            scanValue(appendPointer(pointer, object ? scanKey() : std::to_string(index)));
            skipWhitespaceAndComments();
            if (peek() == ',') {
                ++m_position;
                skipWhitespaceAndComments();
            }
        }
        ++m_position;
    }

    std::string scanKey()
    {
        const auto token = scanString();
        skipWhitespaceAndComments();
        ++m_position; // the colon
        skipWhitespaceAndComments();
        const auto key = boost::json::parse({token.data(), token.size()});
        return std::string{key.as_string()};
    }

    std::string_view m_text;
    std::size_t m_position = 0;
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
    for (const char character : token) {
        if (character == '~') {
            result += "~0";
        } else if (character == '/') {
            result += "~1";
        } else {
            result += character;
        }
    }
    return result;
}

} // namespace bamboohead::detail
