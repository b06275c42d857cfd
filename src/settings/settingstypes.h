#pragma once

#include "base/log.h"
#include "base/nametable.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace geraniumlift::settings {

/// Settings of one router process. Times carry their unit in their type, and in the key's name in
/// the file.
struct Settings {
  /// Name of this VM as the platform's VM list has it.
  std::string m_Vm;
  std::string m_DataCentre;

  /// Base URL of the callers' listener, with an IP number.
  std::string m_CallersListen;

  /// Base URL that callers are told; the listener's if the file has none.
  std::string m_CallersAdvertise;

  /// How long callers may keep the answer to "which VM".
  std::chrono::milliseconds m_EntryTimeToLive{30'000};
  std::int64_t m_BodyLimitBytes = 1'000'000;

  /// Requests that this router holds at once; further ones are refused.
  std::int64_t m_RequestLimit = 4'000;

  /// Base URL of the operators' listener.
  std::string m_OperatorsListen;

  /// Address and port for UDP and TCP between routers.
  std::string m_PeersListen;
  std::vector<std::string> m_PeersSeeds;

  /// Secret that routers prove to each other, at least 16 bytes.
  std::string m_PeersKey;

  /// Base URL of the key-value service.
  std::string m_KeyValueUrl;
  std::string m_VmListUrl;
  /// The service answers in milliseconds; a lost answer is noticed after this time.
  std::chrono::milliseconds m_PlatformCallTimeout{300};
  std::chrono::milliseconds m_VmListInterval{2'000};

  std::chrono::milliseconds m_CommitInterval{50};
  std::chrono::milliseconds m_BillHold{2'000};
  std::string m_GrantStrategy = "forecast";
  std::int64_t m_ExpectedRouters = 9;

  std::string m_TargetStrategy = "expected_wait";
  std::string m_QueueStrategy = "fair_share";
  std::string m_LimitStrategy = "adaptive";

  /// An engine stream without an event for this long is resumed on a fresh connection.
  std::chrono::milliseconds m_StreamProgressTimeout{5'000};
  std::chrono::milliseconds m_LoadInterval{1'000};

  /// Base URL of an OTLP collector; no spans are sent if it is empty.
  std::string m_TraceCollector;
  base::LogLevel m_LogLevel = base::LogLevel::Info;
};

/// A mistake in the settings file.
struct SettingsError {
  std::string m_File;
  std::int64_t m_Line = 0;
  std::string m_Key;
  std::string m_Message;
};

} // namespace geraniumlift::settings
