#pragma once

#include "standins/service/service.h"

#include <string>

namespace geraniumlift::standins {

/// Serves the service over HTTP on a URL such as http://127.0.0.1:8200, with a thread for each
/// connection. Does not return; throws if it cannot listen.
[[noreturn]] auto serveService(const std::string &Url, Service &Served) -> void;

} // namespace geraniumlift::standins
