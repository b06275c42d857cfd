#include "standins/engine/reply.h"

#include "base/log.h"

#include <cpprest/http_msg.h>

namespace geraniumlift::standins {

auto replyAndForget(const web::http::http_request &Request,
                    const web::http::http_response &Response) -> void {
  Request.reply(Response).then([](const pplx::task<void> &Sent) {
    try {
      Sent.get();
    } catch (const std::exception &) {
      base::logEvent(base::LogLevel::Debug, "caller_gone", {});
    }
  });
}

} // namespace geraniumlift::standins
