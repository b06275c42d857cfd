#include "heartbeatcodec.h"
#include "messageauth.h"

#include <criterion/criterion.h>
#include <random>

using namespace geraniumlift::membership;

namespace {

auto sampleHeartbeat() -> Heartbeat {
  return {.m_Entries = {{.m_Vm = "vm-1",
                         .m_Incarnation = 3,
                         .m_Counter = 4,
                         .m_Version = 2,
                         .m_State = PeerState::Draining,
                         .m_DataCentre = "swansea-a",
                         .m_CallerUrl = "http://10.0.0.1:8080",
                         .m_PeerAddress = "10.0.0.1:7000",
                         .m_Generation = 5,
                         .m_Budgets = {{"office", 1000}, {"shop", -1}}}},
          .m_Digests = {{1, 2}, {0xa00004, 255}}};
}

} // namespace

// Guards against size formulas that differ from the encoding, which would let datagrams overflow.
Test(codec, roundTripHasThePredictedSize) {
  const auto Message = sampleHeartbeat();
  const auto Bytes = encodeHeartbeat(Message);
  cr_assert(*decodeHeartbeat(Bytes) == Message);
  cr_assert_eq(Bytes.size(),
               HeartbeatBaseBytes + encodedBytes(Message.m_Entries[0]) + 2 * DigestBytes);
  cr_assert(isWithinLimits(Message.m_Entries[0]));
}

// Guards against a decoder that accepts truncated bytes, or that crashes, hangs or allocates much
// memory on malformed ones.
Test(codec, survivesTruncatedChangedAndRandomBytes) {
  const auto Bytes = encodeHeartbeat(sampleHeartbeat());
  for (auto Size = std::size_t{0}; Size < Bytes.size(); ++Size) {
    cr_assert(!decodeHeartbeat(Bytes.substr(0, Size)).ok());
  }
  cr_assert(!decodeHeartbeat(Bytes + "x").ok());
  auto Random = std::mt19937_64(7);
  for (auto Attempt = 0; Attempt < 100000; ++Attempt) {
    auto Changed = Bytes;
    for (auto Change = Random() % 4; Change <= 4; ++Change) {
      Changed[Random() % Changed.size()] = static_cast<char>(Random());
    }
    decodeHeartbeat(Changed).IgnoreError();
    auto RandomBytes = std::string(Random() % 200, '\0');
    std::ranges::generate(RandomBytes, [&] { return static_cast<char>(Random()); });
    decodeHeartbeat(RandomBytes).IgnoreError();
  }
}

// Guards against accepting messages signed with another key, of another kind, changed or truncated.
Test(messageauth, acceptsOnlyTheSameKeyKindAndBytes) {
  const auto SignedMessage = signMessage("key", MessageKind::Heartbeat, "payload");
  cr_assert(*verifyMessage("key", MessageKind::Heartbeat, SignedMessage) == "payload");
  cr_assert(!verifyMessage("other", MessageKind::Heartbeat, SignedMessage));
  cr_assert(!verifyMessage("key", MessageKind::SnapshotResponse, SignedMessage));
  auto Changed = SignedMessage;
  Changed.back() ^= 1;
  cr_assert(!verifyMessage("key", MessageKind::Heartbeat, Changed));
  cr_assert(!verifyMessage("key", MessageKind::Heartbeat, SignedMessage.substr(0, MacBytes - 1)));
}
