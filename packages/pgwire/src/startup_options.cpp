#include <basilreach/pgwire/startup_options.hpp>

#include <algorithm>

namespace basilreach::pgwire
{

namespace
{

std::vector<std::string> split_words(std::string_view text)
{
    std::vector<std::string> words;
    bool in_word = false;
    for (std::size_t n = 0; n != text.size(); ++n)
    {
        if (text[n] == ' ')
        {
            in_word = false;
            continue;
        }
        if (!in_word)
            words.emplace_back();
        in_word = true;
        if (text[n] == '\\' && n + 1 != text.size())
            ++n;
        words.back().push_back(text[n]);
    }
    return words;
}

} // namespace

std::vector<std::pair<std::string, std::string>>
parse_startup_options(std::string_view options)
{
    std::vector<std::pair<std::string, std::string>> settings;
    auto const words = split_words(options);
    for (std::size_t n = 0; n != words.size(); ++n)
    {
        std::string_view word = words[n];
        if (word == "-c" && n + 1 != words.size())
            word = words[++n];
        else if (word.starts_with("-c") || word.starts_with("--"))
            word.remove_prefix(2);
        else
            continue;
        auto const equals = word.find('=');
        if (equals == std::string_view::npos)
            continue;
        std::string name{word.substr(0, equals)};
        std::replace(name.begin(), name.end(), '-', '_');
        settings.emplace_back(std::move(name),
                              std::string{word.substr(equals + 1)});
    }
    return settings;
}

} // namespace basilreach::pgwire
