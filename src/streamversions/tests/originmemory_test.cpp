#include "streamversions/originmemory.h"

#include <criterion/criterion.h>

using namespace geraniumlift;
using namespace geraniumlift::streamversions;
using namespace std::chrono_literals;

namespace {

const auto Start = base::SteadyTime(100s);
const auto First = StreamOrigin{"engines", "v1"};
const auto Second = StreamOrigin{"engines", "v2"};

} // namespace

Test(originmemory, forgetsStreamsWhenTheyExpire) {
  auto Memory = OriginMemory(10);
  Memory.put(1, First, Start + 10s);
  Memory.put(2, Second, Start + 20s);
  cr_expect(Memory.find(1, Start) == First);
  cr_expect_not(Memory.find(1, Start + 10s));
  Memory.removeExpired(Start + 15s);
  cr_expect_eq(Memory.size(), 1);
  cr_expect(Memory.find(2, Start + 15s) == Second);
}

Test(originmemory, streamThatIsPutAgainLastsLonger) {
  auto Memory = OriginMemory(10);
  Memory.put(1, First, Start + 10s);
  Memory.put(1, First, Start + 20s);
  Memory.removeExpired(Start + 15s);
  cr_expect(Memory.find(1, Start + 15s) == First);
}

Test(originmemory, dropsTheOldestStreamsAboveItsBound) {
  auto Memory = OriginMemory(3);
  for (auto Key = StreamKey{1}; Key <= 5; ++Key) {
    Memory.put(Key, First, Start + 10s);
  }
  cr_expect_eq(Memory.size(), 3);
  cr_expect_not(Memory.find(2, Start));
  cr_expect(Memory.find(3, Start));
}

Test(originmemory, listsTheNewestStreamsOfAPool) {
  auto Memory = OriginMemory(10);
  Memory.put(1, First, Start + 10s);
  Memory.put(2, {"others", "v1"}, Start + 10s);
  Memory.put(3, Second, Start + 10s);
  const auto Streams = Memory.streamsOf("engines", 5, Start);
  cr_assert_eq(Streams.size(), 2);
  cr_expect(Streams[0] == (OriginReport{3, Second}));
  cr_expect(Streams[1] == (OriginReport{1, First}));
  cr_expect_eq(Memory.streamsOf("engines", 1, Start).size(), 1);
}
