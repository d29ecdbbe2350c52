#include <basilreach/rules/digest.hpp>

#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace basilreach::rules
{

namespace
{

constexpr std::string_view hex_digits = "0123456789abcdef";

key_digest sha256(std::string_view text)
{
    key_digest digest;
    SHA256(reinterpret_cast<unsigned char const*>(text.data()), text.size(),
           digest.data());
    return digest;
}

std::optional<std::uint8_t> hex_value(char c)
{
    if (c >= 'A' && c <= 'F')
        c = static_cast<char>(c - 'A' + 'a');
    auto const n = hex_digits.find(c);
    if (n == std::string_view::npos)
        return std::nullopt;
    return static_cast<std::uint8_t>(n);
}

} // namespace

key_digest digest_of_key(std::string_view key)
{
    return sha256(key);
}

bool equal_digests(key_digest const& left, key_digest const& right) noexcept
{
    return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::optional<key_digest> parse_digest(std::string_view text)
{
    key_digest digest;
    if (text.size() != 2 * digest.size())
        return std::nullopt;
    for (std::size_t n = 0; n != digest.size(); ++n)
    {
        auto const high = hex_value(text[2 * n]);
        auto const low = hex_value(text[2 * n + 1]);
        if (!high || !low)
            return std::nullopt;
        digest[n] = static_cast<std::uint8_t>(*high * 16 + *low);
    }
    return digest;
}

std::string print_digest(key_digest const& digest)
{
    std::string text;
    text.reserve(2 * digest.size());
    for (auto const it : digest)
    {
        text += hex_digits[it / 16];
        text += hex_digits[it % 16];
    }
    return text;
}

std::string change_id_of(std::uint64_t base_version, std::string_view text)
{
    auto content = std::to_string(base_version);
    content += '\n';
    content += text;
    return print_digest(sha256(content));
}

} // namespace basilreach::rules
