#include <basilreach/daemon/http_client.hpp>

#include <utility>

namespace basilreach::daemon
{

http_client::http_client(event_loop& loop, response_handler on_response)
    : loop_(loop), on_response_(std::move(on_response)), socket_(*this),
      reader_(http_kind::response)
{
}

http_client::~http_client() = default;

void http_client::start(std::string const& address, http_request const& it)
{
    append_request(socket_.out(), it, address);
    if (!socket_.connect(address))
        return end(std::nullopt);
    is_connecting_ = true;
    socket_.attach(loop_);
    loop_.reactor().schedule_wakeup(this, ACE_Event_Handler::WRITE_MASK);
}

ACE_HANDLE http_client::get_handle() const
{
    return socket_.handle();
}

int http_client::handle_output(ACE_HANDLE /*handle*/)
{
    if (std::exchange(is_connecting_, false))
    {
        loop_.reactor().cancel_wakeup(this, ACE_Event_Handler::WRITE_MASK);
        if (!socket_.finish_connecting())
        {
            end(std::nullopt);
            return 0;
        }
    }
    if (!socket_.flush())
        end(std::nullopt);
    return 0;
}

int http_client::handle_input(ACE_HANDLE /*handle*/)
{
    bool const is_open = socket_.receive(in_);
    in_.erase(0, reader_.read(in_));
    if (!is_open && reader_.state() == http_reader::progress::incomplete)
        reader_.read_end();
    if (reader_.state() == http_reader::progress::complete)
        end(reader_.take_response());
    else if (!is_open || reader_.state() == http_reader::progress::malformed)
        end(std::nullopt);
    return 0;
}

void http_client::end(std::optional<http_response> it)
{
    socket_.close();
    on_response_(std::move(it));
}

} // namespace basilreach::daemon
