#pragma once

#include "base/log.h"
#include "base/nametable.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace geraniumlift::settings {

/// Settings of one router process. The type of a duration states its unit, as does the name of its
/// key in the file.
struct Settings {
  /// Name of this VM as the platform's VM list has it.
  std::string m_Vm;
  std::string m_DataCentre;

  /// Base URL of the callers' listener, with an IP address.
  std::string m_CallersListen;

  /// Base URL that is announced to callers; that of the listener if the file has none.
  std::string m_CallersAdvertise;

  /// How long callers may cache the list of router addresses from /v1/entry.
  std::chrono::milliseconds m_EntryTimeToLive{30'000};

  /// Maximum size of a request body.
  std::int64_t m_BodyLimitBytes = 1'000'000;

  /// Maximum number of concurrent requests; further ones are refused.
  std::int64_t m_RequestLimit = 4'000;

  /// Base URL of the operators' listener.
  std::string m_OperatorsListen;

  /// Address and port for UDP and TCP between routers.
  std::string m_PeersListen;
  std::vector<std::string> m_PeersSeeds;

  /// Shared secret by which routers authenticate each other, at least 16 bytes.
  std::string m_PeersKey;

  /// Base URL of the key-value service.
  std::string m_KeyValueUrl;
  std::string m_VmListUrl;

  /// Time limit of a call to the platform. The service answers within milliseconds; an answer that
  /// is lost is detected after this time.
  std::chrono::milliseconds m_PlatformCallTimeout{300};

  /// Interval at which the platform's VM list is read.
  std::chrono::milliseconds m_VmListInterval{2'000};

  /// Bills submitted within this time are settled in one write.
  std::chrono::milliseconds m_CommitInterval{50};

  /// Longest time that the end of an answer is held back for its bill to be settled.
  std::chrono::milliseconds m_BillHold{2'000};
  std::string m_GrantStrategy = "forecast";

  /// Number of routers that may draw on a budget at the same time.
  std::int64_t m_ExpectedRouters = 9;

  std::string m_TargetStrategy = "expected_wait";
  std::string m_QueueStrategy = "fair_share";
  std::string m_LimitStrategy = "adaptive";

  /// An engine stream without progress for this long is resumed on a fresh connection.
  std::chrono::milliseconds m_StreamProgressTimeout{5'000};

  /// Interval at which the load reports of engines are read.
  std::chrono::milliseconds m_LoadInterval{1'000};

  /// Base URL of an OTLP collector; no spans are sent if it is empty.
  std::string m_TraceCollector;
  base::LogLevel m_LogLevel = base::LogLevel::Info;
};

/// An error in the settings file.
struct SettingsError {
  std::string m_File;

  /// Line from 1; 0 if the error belongs to no line.
  std::int64_t m_Line = 0;

  /// Dotted key; empty for a syntax error or an unreadable file.
  std::string m_Key;
  std::string m_Message;
};

} // namespace geraniumlift::settings
