#pragma once

#include "keyvalue/keyvaluetypes.h"

#include <absl/status/statusor.h>
#include <cpprest/json.h>
#include <string>
#include <vector>

namespace geraniumlift::keyvalue {

/// Request body that reads one key.
auto readRequest(const std::string &Key) -> web::json::value;

/// Request body that reads all keys with the prefix.
auto listRequest(const std::string &Prefix) -> web::json::value;

/// Transaction that writes the key if it was last written at the expected revision, and reads it
/// otherwise.
auto swapRequest(const CompareAndSwap &Request) -> web::json::value;

/// Transaction that removes the key if it was last written at the expected revision, and reads it
/// otherwise.
auto eraseRequest(const std::string &Key, std::int64_t ExpectedModRevision) -> web::json::value;

/// Request body that opens a lease.
auto grantRequest(std::int64_t TimeToLiveSeconds) -> web::json::value;

/// Request body with a lease ID, for renewal and revocation.
auto leaseRequest(LeaseId Lease) -> web::json::value;

// The decoders throw web::json::json_exception or std::invalid_argument on a malformed response.

auto decodeKeyValues(const web::json::value &Range) -> std::vector<KeyValue>;
auto decodeWrite(const web::json::value &Response) -> WriteResult;
auto decodeGrant(const web::json::value &Response) -> LeaseId;

/// Time to live of a renewed lease, in seconds; 0 if the lease has ended.
auto decodeKeepAlive(const web::json::value &Response) -> std::int64_t;

} // namespace geraniumlift::keyvalue
