#include "transport/internal/listener.h"

#include <fmt/format.h>

namespace geraniumlift::transport {

using boost::asio::ip::tcp;

auto openListener(tcp::acceptor &Acceptor, const std::string &Address, std::uint16_t Port,
                  int Backlog) -> absl::Status {
  auto Error = boost::system::error_code();
  const auto Ip = boost::asio::ip::make_address_v4(Address, Error);
  if (!Error) {
    Acceptor.open(tcp::v4(), Error);
  }
  if (!Error) {
    Acceptor.set_option(tcp::acceptor::reuse_address(true), Error);
  }
  if (!Error) {
    Acceptor.bind({Ip, Port}, Error);
  }
  if (!Error) {
    Acceptor.listen(Backlog, Error);
  }
  return Error ? absl::UnavailableError(
                     fmt::format("cannot listen on {}:{}: {}", Address, Port, Error.message()))
               : absl::OkStatus();
}

} // namespace geraniumlift::transport
