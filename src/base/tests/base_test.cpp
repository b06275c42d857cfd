#include "base/asioscheduler.h"
#include "base/hashing.h"
#include "base/log.h"
#include "base/refusal.h"

#include <criterion/criterion.h>
#include <future>

using namespace geraniumlift;

// Guards against values with separators that make a log line ambiguous.
Test(log, quotesValuesWithSeparators) {
  const auto Line = base::formatEvent(base::LogLevel::Info, "start",
                                      {{"vm", "a"}, {"detail", "two words\nand \"quotes\""}});
  cr_assert_eq(Line, std::string("level=info event=start vm=a "
                                 "detail=\"two words\\nand \\\"quotes\\\"\""));
}

// Guards against two refusal codes with the same name in the API for callers.
Test(refusal, everyCodeHasAUniqueName) {
  for (const auto &Row : base::RefusalCodeNames) {
    cr_assert(base::valueOf(base::RefusalCodeNames, Row.m_Name) == Row.m_Value);
  }
}

// Guards against wrong use of the crypto library: RFC 4231, test case 2.
Test(hashing, hmacMatchesPublishedVector) {
  const auto Digest = base::hmacSha256("Jefe", "what do ya want for nothing?");
  cr_assert_eq(Digest.size(), 32U);
  cr_assert_eq(static_cast<unsigned char>(Digest[0]), 0x5b);
  cr_assert_eq(static_cast<unsigned char>(Digest[31]), 0x43);
}

// Guards against a delayed function that runs too early or never.
Test(scheduler, runsDelayedFunctionAfterPostedOne) {
  auto Scheduler = base::AsioScheduler();
  auto Order = std::promise<std::string>();
  auto Seen = std::string();
  Scheduler.after(std::chrono::milliseconds{20}, [&] { Order.set_value(Seen + "delayed"); });
  Scheduler.post([&] { Seen += "posted,"; });
  cr_assert_eq(Order.get_future().get(), std::string("posted,delayed"));
}
