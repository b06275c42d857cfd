#include "objects/objectparser.h"

#include "objects/internal/checkphases.h"
#include "objects/internal/tomlreader.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <unordered_set>

namespace geraniumlift::objects {

namespace {

/// Adds the errors found by a check, with their source positions. Skips fields that already have an
/// error: a field of the wrong type has its default value, and errors about that would mislead.
auto addCheckErrors(std::vector<ObjectError> Found, internal::ReadResult &Read) -> void {
  auto Reported = std::unordered_set<std::string>();
  for (const auto &Error : Read.m_Errors) {
    Reported.insert(Error.m_Field);
  }
  for (auto &Error : Found) {
    if (Reported.contains(Error.m_Field)) {
      continue;
    }
    auto Position = Read.m_Positions.find(Error.m_Field);
    Error.m_File = std::move(Position.m_File);
    Error.m_Line = Position.m_Line;
    Read.m_Errors.push_back(std::move(Error));
  }
}

auto sortByPosition(std::vector<ObjectError> &Errors) -> void {
  std::stable_sort(Errors.begin(), Errors.end(), [](const auto &Left, const auto &Right) {
    return std::tie(Left.m_File, Left.m_Line) < std::tie(Right.m_File, Right.m_Line);
  });
}

auto totalBytes(const std::vector<ObjectFile> &Files) -> std::size_t {
  auto Bytes = std::size_t{0};
  for (const auto &File : Files) {
    Bytes += File.m_Text.size();
  }
  return Bytes;
}

} // namespace

auto parseObjects(const std::vector<ObjectFile> &Files) -> ParseResult {
  auto Read = internal::ReadResult();
  if (totalBytes(Files) > MaxTotalFileBytes) {
    Read.m_Errors.push_back({.m_File = "", .m_Field = "", .m_Message = "files exceed 64 MB"});
    return {.m_Objects = {}, .m_Errors = std::move(Read.m_Errors)};
  }
  for (const auto &File : Files) {
    internal::readToml(File, Read);
  }
  addCheckErrors(internal::checkFields(Read.m_Objects), Read);
  if (!Read.m_HasSyntaxError) {
    addCheckErrors(internal::checkReferences(Read.m_Objects), Read);
  }
  sortByPosition(Read.m_Errors);
  return {.m_Objects = std::move(Read.m_Objects), .m_Errors = std::move(Read.m_Errors)};
}

} // namespace geraniumlift::objects
