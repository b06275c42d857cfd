#pragma once

namespace web::http {
class http_request;
class http_response;
} // namespace web::http

namespace geraniumlift::standins {

/// Sends an answer; a caller that has gone is no error of a stand-in.
auto replyAndForget(const web::http::http_request &Request,
                    const web::http::http_response &Response) -> void;

} // namespace geraniumlift::standins
