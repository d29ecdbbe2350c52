#include <basilreach/traffic/statement.hpp>

#include <array>
#include <cctype>
#include <string>

namespace basilreach::traffic
{

namespace
{

// Keywords at the start of a statement that are examined. Eight cover START
// TRANSACTION ISOLATION LEVEL READ COMMITTED, READ ONLY. A form with so many
// options that its deciding keyword comes later is not recognised.
constexpr std::size_t max_keywords = 8;

struct keyword_list
{
    std::array<std::string, max_keywords> keyword;
    std::size_t size = 0;

    [[nodiscard]] bool has(std::string_view text) const
    {
        for (std::size_t it = 0; it != size; ++it)
            if (keyword[it] == text)
                return true;
        return false;
    }

    // Whether the keywords a and b occur next to each other.
    [[nodiscard]] bool has(std::string_view a, std::string_view b) const
    {
        for (std::size_t it = 1; it < size; ++it)
            if (keyword[it - 1] == a && keyword[it] == b)
                return true;
        return false;
    }
};

bool is_word_character(char c)
{
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '_' ||
           c == '.';
}

// Returns the offset behind a comment. Comments nest in PostgreSQL.
std::size_t skip_comment(std::string_view text, std::size_t at)
{
    std::size_t depth = 0;
    while (at < text.size())
    {
        auto const next = text.substr(at, 2);
        if (next == "/*")
            ++depth;
        else if (next == "*/")
            --depth;
        else
        {
            ++at;
            continue;
        }
        at += 2;
        if (depth == 0)
            break;
    }
    return at;
}

// Returns the offset of the first character that is neither white space nor
// part of a comment.
std::size_t skip_space(std::string_view text, std::size_t at)
{
    while (at < text.size())
    {
        if (std::isspace(static_cast<unsigned char>(text[at])) != 0)
            ++at;
        else if (text.substr(at, 2) == "--")
            at = std::min(text.find('\n', at), text.size());
        else if (text.substr(at, 2) == "/*")
        {
            at = skip_comment(text, at);
        }
        else
            break;
    }
    return at;
}

keyword_list read_keywords(std::string_view text)
{
    keyword_list found;
    std::size_t at = skip_space(text, 0);
    while (at < text.size() && found.size < max_keywords)
    {
        auto& word = found.keyword[found.size];
        while (at < text.size() && is_word_character(text[at]))
            word += static_cast<char>(
                std::toupper(static_cast<unsigned char>(text[at++])));
        if (word.empty())
            break;
        ++found.size;
        at = skip_space(text, at);
        if (at < text.size() && (text[at] == ',' || text[at] == ';'))
            at = skip_space(text, at + 1);
    }
    return found;
}

statement_verb classify_begin(keyword_list const& it)
{
    return it.has("READ", "ONLY") ? statement_verb::begin_read_only
                                  : statement_verb::begin_read_write;
}

statement_verb classify_start(keyword_list const& it)
{
    return it.has("START", "TRANSACTION") ? classify_begin(it)
                                          : statement_verb::other;
}

statement_verb classify_commit(keyword_list const& it)
{
    // Two-phase commit leaves a transaction behind that no connection owns.
    return it.has("PREPARED") ? statement_verb::session_state
                              : statement_verb::commit;
}

statement_verb classify_rollback(keyword_list const& it)
{
    if (it.has("PREPARED"))
        return statement_verb::session_state;
    // ROLLBACK TO a savepoint keeps the transaction open.
    return it.has("TO") ? statement_verb::other : statement_verb::rollback;
}

bool is_proxy_variable(keyword_list const& it)
{
    return it.size > 1 && it.keyword[1].rfind("BASILREACH.", 0) == 0;
}

statement_verb classify_set(keyword_list const& it)
{
    if (is_proxy_variable(it))
        return statement_verb::proxy_variable;
    if (it.size > 1 &&
        (it.keyword[1] == "LOCAL" || it.keyword[1] == "TRANSACTION" ||
         it.keyword[1] == "CONSTRAINTS"))
        return statement_verb::other;
    return statement_verb::session_state;
}

statement_verb classify_show(keyword_list const& it)
{
    return is_proxy_variable(it) ? statement_verb::proxy_variable
                                 : statement_verb::other;
}

statement_verb classify_session_state(keyword_list const& /*it*/)
{
    return statement_verb::session_state;
}

statement_verb classify_create(keyword_list const& it)
{
    return it.size > 1 &&
                   (it.keyword[1] == "TEMP" || it.keyword[1] == "TEMPORARY" ||
                    it.keyword[1] == "LOCAL" || it.keyword[1] == "GLOBAL")
               ? statement_verb::session_state
               : statement_verb::other;
}

statement_verb classify_declare(keyword_list const& it)
{
    return it.has("WITH", "HOLD") ? statement_verb::session_state
                                  : statement_verb::other;
}

struct verb_rule
{
    std::string_view keyword;
    statement_verb (*classify)(keyword_list const&);
};

constexpr std::array verb_rules = {
    verb_rule{"BEGIN", classify_begin},
    verb_rule{"START", classify_start},
    verb_rule{"COMMIT", classify_commit},
    verb_rule{"END", classify_commit},
    verb_rule{"ROLLBACK", classify_rollback},
    verb_rule{"ABORT", classify_rollback},
    verb_rule{"SET", classify_set},
    verb_rule{"SHOW", classify_show},
    verb_rule{"RESET", classify_session_state},
    verb_rule{"DISCARD", classify_session_state},
    verb_rule{"PREPARE", classify_session_state},
    verb_rule{"EXECUTE", classify_session_state},
    verb_rule{"DEALLOCATE", classify_session_state},
    verb_rule{"LISTEN", classify_session_state},
    verb_rule{"UNLISTEN", classify_session_state},
    verb_rule{"LOAD", classify_session_state},
    verb_rule{"CREATE", classify_create},
    verb_rule{"DECLARE", classify_declare},
};

} // namespace

statement_verb classify(std::string_view text)
{
    auto const found = read_keywords(text);
    if (found.size == 0)
        return skip_space(text, 0) == text.size() ? statement_verb::empty
                                                  : statement_verb::other;
    for (auto const& it : verb_rules)
        if (it.keyword == found.keyword[0])
            return it.classify(found);
    return statement_verb::other;
}

} // namespace basilreach::traffic
