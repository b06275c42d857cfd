#include "keyvalue/httpvmlist.h"

#include "jsonhttpclient.h"

#include <utility>

namespace geraniumlift::keyvalue {

namespace {

auto decodeVms(const web::json::value &Response) -> absl::StatusOr<std::vector<VmEntry>> {
  auto Vms = std::vector<VmEntry>();
  try {
    for (const auto &Vm : Response.at("vms").as_array()) {
      const auto State = base::valueOf(VmStateNames, Vm.at("state").as_string());
      if (!State) {
        return absl::InternalError("unknown state in the VM list");
      }
      Vms.push_back({Vm.at("name").as_string(), *State});
    }
  } catch (const web::json::json_exception &Exception) {
    return absl::InternalError(Exception.what());
  }
  return Vms;
}

} // namespace

HttpVmList::HttpVmList(PlatformEndpoint Endpoint)
    : m_Client(std::make_unique<JsonHttpClient>(std::move(Endpoint))) {}

HttpVmList::~HttpVmList() = default;

auto HttpVmList::read(Callback Done) -> void {
  m_Counter.add(CallKind::Read);
  m_Client->get("/vms", [Done = std::move(Done)](const absl::StatusOr<web::json::value> &Response) {
    if (!Response.ok()) {
      return Done(Response.status());
    }
    Done(decodeVms(*Response));
  });
}

} // namespace geraniumlift::keyvalue
