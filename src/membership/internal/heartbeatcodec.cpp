#include "heartbeatcodec.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <numeric>
#include <sstream>
#include <stdexcept>

namespace geraniumlift::membership {

namespace {

/// Bytes of an entry's fixed-size fields and of the lengths of its four strings and its list.
constexpr std::size_t EntryBaseBytes = 8 + 4 + 4 + 1 + 8 + 4 + 1;

/// Bytes of a budget's name length and allowance.
constexpr std::size_t BudgetBaseBytes = 1 + 8;

/// Writes a length of one byte and the text. The decoder therefore never allocates more than 255
/// bytes for a text.
template <typename Archive>
auto writeText(Archive &Out, const std::string &Text) -> void {
  Out(static_cast<std::uint8_t>(Text.size()));
  Out(cereal::binary_data(Text.data(), Text.size()));
}

template <typename Archive>
auto readText(Archive &In, std::size_t Limit) -> std::string {
  auto Size = std::uint8_t{0};
  In(Size);
  if (Size > Limit) {
    throw std::length_error("a name exceeds its limit");
  }
  auto Text = std::string(Size, '\0');
  In(cereal::binary_data(Text.data(), Text.size()));
  return Text;
}

template <typename Archive>
auto readState(Archive &In) -> PeerState {
  auto State = std::uint8_t{0};
  In(State);
  if (State > static_cast<std::uint8_t>(PeerState::Draining)) {
    throw std::out_of_range("unknown peer state");
  }
  return static_cast<PeerState>(State);
}

template <typename Archive>
auto writeEntry(Archive &Out, const PeerEntry &Entry) -> void {
  writeText(Out, Entry.m_Vm);
  Out(Entry.m_Incarnation, Entry.m_Counter, Entry.m_Version);
  Out(static_cast<std::uint8_t>(Entry.m_State));
  writeText(Out, Entry.m_DataCentre);
  writeText(Out, Entry.m_CallerUrl);
  writeText(Out, Entry.m_PeerAddress);
  Out(Entry.m_Generation, static_cast<std::uint8_t>(Entry.m_Budgets.size()));
  for (const auto &Budget : Entry.m_Budgets) {
    writeText(Out, Budget.m_Name);
    Out(Budget.m_Allowance);
  }
}

template <typename Archive>
auto readEntry(Archive &In) -> PeerEntry {
  auto Entry = PeerEntry();
  Entry.m_Vm = readText(In, MaxNameBytes);
  In(Entry.m_Incarnation, Entry.m_Counter, Entry.m_Version);
  Entry.m_State = readState(In);
  Entry.m_DataCentre = readText(In, MaxNameBytes);
  Entry.m_CallerUrl = readText(In, MaxUrlBytes);
  Entry.m_PeerAddress = readText(In, MaxNameBytes);
  auto Budgets = std::uint8_t{0};
  In(Entry.m_Generation, Budgets);
  if (Entry.m_Vm.empty() || Budgets > MaxAdvertisedBudgets) {
    throw std::length_error("an entry without a name or with too many budgets");
  }
  for (auto Index = 0; Index < Budgets; ++Index) {
    auto &Budget = Entry.m_Budgets.emplace_back();
    Budget.m_Name = readText(In, MaxNameBytes);
    In(Budget.m_Allowance);
  }
  return Entry;
}

/// Position of the counter bits above the 24 bits of the hash.
constexpr auto CounterShift = 24;
constexpr std::uint32_t HashMask = (std::uint32_t{1} << CounterShift) - 1;

template <typename Archive>
auto writeDigest(Archive &Out, const PeerDigest &Digest) -> void {
  Out((std::uint32_t{Digest.m_CounterBits} << CounterShift) | (Digest.m_RouterHash & HashMask));
}

template <typename Archive>
auto readDigest(Archive &In) -> PeerDigest {
  auto Bits = std::uint32_t{0};
  In(Bits);
  return {.m_RouterHash = Bits & HashMask,
          .m_CounterBits = static_cast<std::uint8_t>(Bits >> CounterShift)};
}

template <typename Archive>
auto readHeartbeat(Archive &In) -> Heartbeat {
  auto Message = Heartbeat();
  auto Entries = std::uint8_t{0};
  auto Digests = std::uint8_t{0};
  In(Entries, Digests);
  for (auto Index = 0; Index < Entries; ++Index) {
    Message.m_Entries.push_back(readEntry(In));
  }
  for (auto Index = 0; Index < Digests; ++Index) {
    Message.m_Digests.push_back(readDigest(In));
  }
  return Message;
}

} // namespace

auto encodedBytes(const PeerEntry &Entry) -> std::size_t {
  const auto Names = Entry.m_Vm.size() + Entry.m_DataCentre.size() + Entry.m_CallerUrl.size() +
                     Entry.m_PeerAddress.size();
  return std::accumulate(Entry.m_Budgets.begin(), Entry.m_Budgets.end(), EntryBaseBytes + Names,
                         [](std::size_t Sum, const AdvertisedBudget &Budget) {
                           return Sum + BudgetBaseBytes + Budget.m_Name.size();
                         });
}

auto isWithinLimits(const PeerEntry &Entry) -> bool {
  return !Entry.m_Vm.empty() && Entry.m_Vm.size() <= MaxNameBytes &&
         Entry.m_DataCentre.size() <= MaxNameBytes && Entry.m_CallerUrl.size() <= MaxUrlBytes &&
         Entry.m_PeerAddress.size() <= MaxNameBytes &&
         Entry.m_Budgets.size() <= MaxAdvertisedBudgets &&
         std::ranges::all_of(Entry.m_Budgets, [](const AdvertisedBudget &Budget) {
           return Budget.m_Name.size() <= MaxNameBytes;
         });
}

auto encodeHeartbeat(const Heartbeat &Message) -> std::string {
  auto Stream = std::ostringstream(std::ios::binary);
  auto Out = cereal::PortableBinaryOutputArchive(Stream);
  Out(static_cast<std::uint8_t>(Message.m_Entries.size()),
      static_cast<std::uint8_t>(Message.m_Digests.size()));
  for (const auto &Entry : Message.m_Entries) {
    writeEntry(Out, Entry);
  }
  for (const auto &Digest : Message.m_Digests) {
    writeDigest(Out, Digest);
  }
  return std::move(Stream).str();
}

auto decodeHeartbeat(std::string_view Bytes) -> absl::StatusOr<Heartbeat> {
  try {
    auto Stream = std::istringstream(std::string(Bytes), std::ios::binary);
    auto In = cereal::PortableBinaryInputArchive(Stream);
    auto Message = readHeartbeat(In);
    if (Stream.peek() != std::istringstream::traits_type::eof()) {
      return absl::InvalidArgumentError("bytes after the end of a heartbeat");
    }
    return Message;
  } catch (const std::exception &Exception) {
    return absl::InvalidArgumentError(absl::StrCat("malformed heartbeat: ", Exception.what()));
  }
}

} // namespace geraniumlift::membership
