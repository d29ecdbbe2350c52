#include "scanner.hpp"

#include <algorithm>
#include <utility>

namespace basilreach::admin::detail
{

namespace
{

constexpr std::string_view blanks = " \t\r\n\f\v";
constexpr std::string_view symbols = "=;";

// Splits a text into words, symbols and quoted texts.
class scanner
{
public:
    explicit scanner(std::string_view text) : text_(text)
    {
    }

    result<std::vector<command_token>, admin_error> scan()
    {
        std::vector<command_token> tokens;
        while ((at_ = text_.find_first_not_of(blanks, at_)) !=
               std::string_view::npos)
        {
            command_token it{"", at_ + 1, false};
            if (!read(it))
                return failure(admin_error{admin_reason::unterminated_quote,
                                           it.column,
                                           "a closing quote for this text"});
            tokens.push_back(std::move(it));
        }
        // Only a semicolon at the end is removed. The parser refuses a
        // semicolon that tokens follow.
        if (!tokens.empty() && !tokens.back().is_quoted &&
            tokens.back().text == ";")
            tokens.pop_back();
        return success(std::move(tokens));
    }

private:
    bool read(command_token& out)
    {
        char const c = text_[at_];
        if (c == '\'' || c == '"')
            return read_quoted(out, c);
        if (c == '$')
            return read_dollar_quoted(out);
        auto const end =
            symbols.find(c) != std::string_view::npos
                ? at_ + 1
                : std::min(text_.find_first_of(" \t\r\n\f\v=;'\"", at_),
                           text_.size());
        out.text = text_.substr(at_, end - at_);
        at_ = end;
        return true;
    }

    bool read_quoted(command_token& out, char mark)
    {
        out.is_quoted = true;
        for (++at_; at_ < text_.size(); ++at_)
        {
            if (text_[at_] == mark)
            {
                ++at_;
                if (at_ == text_.size() || text_[at_] != mark)
                    return true;
            }
            out.text += text_[at_];
        }
        return false;
    }

    // Reads $$text$$ or $tag$text$tag$.
    bool read_dollar_quoted(command_token& out)
    {
        out.is_quoted = true;
        auto const tag_end = text_.find('$', at_ + 1);
        if (tag_end == std::string_view::npos)
            return false;
        auto const tag = text_.substr(at_, tag_end + 1 - at_);
        auto const end = text_.find(tag, tag_end + 1);
        if (end == std::string_view::npos)
            return false;
        out.text = text_.substr(tag_end + 1, end - tag_end - 1);
        at_ = end + tag.size();
        return true;
    }

    std::string_view text_;
    std::size_t at_ = 0;
};

} // namespace

result<std::vector<command_token>, admin_error> scan(std::string_view text)
{
    return scanner{text}.scan();
}

} // namespace basilreach::admin::detail
