#include "forwarding/tests/forwardingfakes.h"

#include <criterion/criterion.h>

using namespace geraniumlift::forwarding;
using geraniumlift::forwarding::tests::ForwardingFixture;

namespace {

auto tableOf(std::vector<Route> Routes) -> RoutingTable {
  return {1, std::move(Routes), {TargetPool{"p", std::nullopt}}, CallerLimits(), {}, {}};
}

auto route(const std::string &Path, const std::string &Pool = "p") -> Route {
  auto Item = ForwardingFixture::route(Path, RequestKind::Idempotent, Pool, 1);
  Item.m_Host = "Shop.example";
  return Item;
}

} // namespace

Test(routingtable, longestPrefixWins) {
  const auto Table = tableOf({route("/a/"), route("/a/b/"), route("/")});
  cr_assert_eq(Table.findRoute("shop.example", "/a/b/c?d=/x/")->m_Name, "/a/b/");
  cr_assert_eq(Table.findRoute("SHOP.example:80", "/a/bc")->m_Name, "/a/");
  cr_assert_eq(Table.findRoute("shop.example", "/b")->m_Name, "/");
  cr_assert_null(Table.findRoute("other.example", "/a/"));
}

Test(routingtable, invalidTablesAreRejected) {
  cr_expect_not(tableOf({route("/a")}).check().ok());
  cr_expect_not(tableOf({route("/a/", "unknown")}).check().ok());
  cr_expect_not(tableOf({route("/a/"), route("/a/")}).check().ok());
  auto InvalidTimeout = route("/a/");
  InvalidTimeout.m_Timeout = std::chrono::milliseconds(0);
  cr_expect_not(tableOf({InvalidTimeout}).check().ok());
  cr_expect(tableOf({route("/a/")}).check().ok());
}

Test(routingtable, apiKeyIdentifiesItsWorkspace) {
  const auto Table = ForwardingFixture::table();
  cr_assert_eq(Table->findWorkspace("k")->m_Name, "w");
  cr_assert_null(Table->findWorkspace(""));
}

Test(eventsplitter, eventsMayArriveByteByByte) {
  auto Splitter = EventSplitter();
  auto Seen = std::string();
  for (const auto Byte : std::string_view("id: 7\r\ndata: x\r\n\r\nid: 8\ndata: y\n\nid: 9")) {
    Seen += Splitter.add(std::string_view(&Byte, 1));
  }
  cr_assert_eq(Seen, "id: 7\r\ndata: x\r\n\r\nid: 8\ndata: y\n\n");
  cr_assert_eq(*Splitter.lastEventId(), 8U);
  cr_assert_eq(Splitter.count(), 2);
  cr_assert(Splitter.hasPartialEvent());
}
