// Implements the traffic threads' protocol interface for a line protocol.
#include <utility>

#include <basilreach/daemon/line_client_connection.hpp>
#include <basilreach/daemon/line_server_connection.hpp>
#include <basilreach/daemon/protocol.hpp>

namespace basilreach::daemon
{

namespace
{

class line_protocol : public protocol
{
public:
    explicit line_protocol(line_codec const& codec) : codec_(codec)
    {
    }

    [[nodiscard]] std::unique_ptr<client_connection>
    make_client_connection(ACE_SOCK_Stream const& stream) const override
    {
        return std::make_unique<line_client_connection>(stream, codec_);
    }

    [[nodiscard]] std::unique_ptr<server_connection>
    make_server_connection(event_loop& loop,
                           server_observer observer) const override
    {
        return std::make_unique<line_server_connection>(loop, codec_,
                                                        std::move(observer));
    }

private:
    line_codec const& codec_;
};

} // namespace

std::unique_ptr<protocol> make_line_protocol(line_codec const& codec)
{
    return std::make_unique<line_protocol>(codec);
}

} // namespace basilreach::daemon
