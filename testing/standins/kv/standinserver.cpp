#include "standinserver.h"

#include <optional>

namespace geraniumlift::standin {

namespace {

using Json = web::json::value;

auto plainAnswer(std::int64_t Status, const std::string &Message) -> Answer {
  auto Body = Json::object();
  Body["message"] = Json::string(Message);
  return {Status, Body};
}

/// Sends an answer and ignores a client that has gone.
auto send(const web::http::http_request &Request, const Answer &Content) -> void {
  Request.reply(static_cast<web::http::status_code>(Content.m_Status), Content.m_Body)
      .then([](const pplx::task<void> &Sent) {
        try {
          Sent.get();
        } catch (const std::exception &) {
          return;
        }
      });
}

auto kindOf(const std::string &Path) -> std::optional<PlatformCall> {
  if (Path == "/v3/kv/range") {
    return PlatformCall::Read;
  }
  if (Path.starts_with("/v3/kv/")) {
    return PlatformCall::Write;
  }
  if (Path.starts_with("/v3/lease/")) {
    return PlatformCall::Lease;
  }
  if (Path == "/vms") {
    return PlatformCall::Vms;
  }
  return Path.starts_with("/weights/") ? std::optional(PlatformCall::Weights) : std::nullopt;
}

/// Sets one fault by its name in the body of /control; false if there is no such fault.
auto applyFault(Faults &Target, const std::string &Name, const Json &Value) -> bool {
  if (Name == "delay_ms") {
    Target.m_Delay = std::chrono::milliseconds{Value.as_number().to_int64()};
  } else if (Name == "lose_answers") {
    Target.m_LoseAnswers = Value.as_number().to_int64();
  } else if (Name == "stale_reads") {
    Target.m_StaleReads = Value.as_number().to_int64();
  } else if (Name == "down") {
    Target.m_Down = Value.as_bool();
  } else if (Name == "silent") {
    Target.m_Silent = Value.as_bool();
  } else {
    return false;
  }
  return true;
}

} // namespace

StandinServer::StandinServer(const StandinOptions &Options)
    : m_WeightStore(Options.m_WeightReadsPerSecond), m_Listener(Options.m_ListenUrl) {
  m_Vms = Json::object();
  m_Vms["vms"] = Json::array();
  m_Listener.support([this](const Request &Received) { receive(Received); });
}

auto StandinServer::open() -> void { m_Listener.open().wait(); }

auto StandinServer::close() -> void { m_Listener.close().wait(); }

auto StandinServer::receive(const Request &Received) -> void {
  auto Incoming = Received;
  Incoming.extract_string(true).then([this, Received](const pplx::task<std::string> &Read) {
    try {
      m_Scheduler.post([this, Received, Body = Read.get()] { process(Received, Body); });
    } catch (const std::exception &Exception) {
      send(Received, plainAnswer(web::http::status_codes::BadRequest, Exception.what()));
    }
  });
}

auto StandinServer::process(const Request &Received, const std::string &Body) -> void {
  const auto Path = Received.relative_uri().path();
  if (Path == "/control") {
    return send(Received, setFaults(Body));
  }
  if (Path == "/counts") {
    return send(Received, counts());
  }
  if (Path == "/vms" && Received.method() == web::http::methods::PUT) {
    return send(Received, replaceVms(Body));
  }
  const auto Kind = kindOf(Path);
  if (!Kind) {
    return send(Received, plainAnswer(web::http::status_codes::NotFound, "Not Found"));
  }
  processPlatformCall(*Kind, Received, Body);
}

auto StandinServer::processPlatformCall(PlatformCall Kind, const Request &Received,
                                        const std::string &Body) -> void {
  ++m_Counts[static_cast<std::size_t>(Kind)];
  if (m_Faults.m_Silent) {
    m_Unanswered.push_back(Received);
  } else if (m_Faults.m_Down) {
    send(Received, plainAnswer(web::http::status_codes::ServiceUnavailable, "down"));
  } else if (m_Faults.m_Delay.count() > 0) {
    m_Scheduler.after(m_Faults.m_Delay,
                      [this, Kind, Received, Body] { execute(Kind, Received, Body); });
  } else {
    execute(Kind, Received, Body);
  }
}

auto StandinServer::execute(PlatformCall Kind, const Request &Received, const std::string &Body)
    -> void {
  const auto Content = carryOut(Kind, Received.relative_uri().path(), Body);
  if (Kind == PlatformCall::Write && Content.m_Status == web::http::status_codes::OK &&
      m_Faults.m_LoseAnswers > 0) {
    --m_Faults.m_LoseAnswers;
    m_Unanswered.push_back(Received);
    return;
  }
  send(Received, Content);
}

auto StandinServer::carryOut(PlatformCall Kind, const std::string &Path, const std::string &Body)
    -> Answer {
  if (Kind == PlatformCall::Vms) {
    return {.m_Body = m_Vms};
  }
  if (Kind == PlatformCall::Weights) {
    return m_WeightStore.tryRead(m_Clock.steadyNow())
               ? plainAnswer(web::http::status_codes::OK, Path)
               : plainAnswer(web::http::status_codes::TooManyRequests, "rate limit");
  }
  try {
    const auto Stale = Kind == PlatformCall::Read && m_Faults.m_StaleReads > 0;
    m_Faults.m_StaleReads -= Stale ? 1 : 0;
    return m_Gateway.call(Path, Json::parse(Body), Stale, m_Clock.steadyNow());
  } catch (const web::json::json_exception &Exception) {
    return plainAnswer(web::http::status_codes::BadRequest, Exception.what());
  }
}

auto StandinServer::setFaults(const std::string &Body) -> Answer {
  try {
    auto Changed = m_Faults;
    const auto Fields = Json::parse(Body);
    for (const auto &[Name, Value] : Fields.as_object()) {
      if (!applyFault(Changed, Name, Value)) {
        return plainAnswer(web::http::status_codes::BadRequest, "unknown fault " + Name);
      }
    }
    m_Faults = Changed;
    return plainAnswer(web::http::status_codes::OK, "set");
  } catch (const web::json::json_exception &Exception) {
    return plainAnswer(web::http::status_codes::BadRequest, Exception.what());
  }
}

auto StandinServer::replaceVms(const std::string &Body) -> Answer {
  try {
    auto Vms = Json::parse(Body);
    if (!Vms.at("vms").is_array()) {
      return plainAnswer(web::http::status_codes::BadRequest, "vms is not a list");
    }
    m_Vms = std::move(Vms);
    return {.m_Body = m_Vms};
  } catch (const web::json::json_exception &Exception) {
    return plainAnswer(web::http::status_codes::BadRequest, Exception.what());
  }
}

auto StandinServer::counts() const -> Answer {
  auto Body = Json::object();
  for (const auto &Row : PlatformCallNames) {
    Body[std::string(Row.m_Name)] = Json::number(m_Counts[static_cast<std::size_t>(Row.m_Value)]);
  }
  return {.m_Body = Body};
}

} // namespace geraniumlift::standin
