#include "objects/internal/tomlreader.h"

#include "objects/internal/objectfields.h"

#include <algorithm>
#include <fmt/format.h>
#include <toml++/toml.h>

namespace geraniumlift::objects::internal {

namespace {

/// Reads one TOML value into a member. Each overload returns the error message, or an empty text.
auto readValue(const toml::node &Node, std::string &Out) -> std::string_view {
  const auto *Value = Node.as_string();
  if (Value == nullptr) {
    return "must be a text";
  }
  Out = Value->get();
  return "";
}

auto readValue(const toml::node &Node, std::int64_t &Out) -> std::string_view {
  const auto *Value = Node.as_integer();
  if (Value == nullptr) {
    return "must be a whole number";
  }
  Out = Value->get();
  return "";
}

auto readValue(const toml::node &Node, double &Out) -> std::string_view {
  if (!Node.is_number()) {
    return "must be a number";
  }
  Out = Node.value<double>().value_or(0.0);
  return "";
}

auto readValue(const toml::node &Node, bool &Out) -> std::string_view {
  const auto *Value = Node.as_boolean();
  if (Value == nullptr) {
    return "must be true or false";
  }
  Out = Value->get();
  return "";
}

auto readValue(const toml::node &Node, TargetKind &Out) -> std::string_view {
  const auto *Text = Node.as_string();
  const auto Value = Text == nullptr ? std::nullopt : base::valueOf(TargetKindNames, Text->get());
  Out = Value.value_or(TargetKind::Engine);
  return Value ? "" : "must be \"engine\" or \"service\"";
}

template <typename Value>
auto readValue(const toml::node &Node, std::optional<Value> &Out) -> std::string_view {
  return readValue(Node, Out.emplace());
}

/// Reads one file and adds its objects and errors to a result. Refers to the file name and the
/// result without owning them.
class FileReader {
public:
  FileReader(const std::string &File, ReadResult &Result) : m_File(File), m_Result(Result) {}

  auto read(const toml::table &Root) -> void {
    forEachKind([&]<typename Object>() { readKind<Object>(Root); });
    for (const auto &[Key, Node] : Root) {
      if (!base::valueOf(ObjectKindNames, Key.str())) {
        report(Node.source(), std::string(Key.str()), "is not a known kind of object");
      }
    }
  }

  auto report(const toml::source_region &Region, std::string Path, std::string Message) -> void {
    m_Result.m_Errors.push_back({.m_File = m_File,
                                 .m_Line = Region.begin.line,
                                 .m_Field = std::move(Path),
                                 .m_Message = std::move(Message)});
  }

private:
  auto recordPosition(const toml::source_region &Region, std::string Path) -> void {
    m_Result.m_Positions.add(std::move(Path), {.m_File = m_File, .m_Line = Region.begin.line});
  }

  template <typename Object>
  auto readKind(const toml::table &Root) -> void {
    const auto *Kind = Root.get(kindName<Object>());
    if (Kind == nullptr) {
      return;
    }
    const auto *Table = Kind->as_table();
    if (Table == nullptr) {
      report(Kind->source(), std::string(kindName<Object>()), "must be a table of objects");
      return;
    }
    for (const auto &[Name, Node] : *Table) {
      readObject<Object>(std::string(Name.str()), Node);
    }
  }

  template <typename Object>
  auto readObject(const std::string &Name, const toml::node &Node) -> void {
    const auto Path = fmt::format("{}.{}", kindName<Object>(), Name);
    const auto *Table = Node.as_table();
    if (Table == nullptr) {
      report(Node.source(), Path, "must be a table");
      return;
    }
    auto &Objects = m_Result.m_Objects.*KindTraits<Object>::Objects;
    const auto [Iterator, IsNew] = Objects.try_emplace(Name);
    if (!IsNew) {
      const auto First = m_Result.m_Positions.find(Path);
      report(Node.source(), Path,
             fmt::format("is already defined in {}:{}", First.m_File, First.m_Line));
      return;
    }
    recordPosition(Node.source(), Path);
    Iterator->second.m_Name = Name;
    readFields(*Table, Path, Iterator->second);
    reportUnknownKeys<Object>(*Table, Path);
  }

  template <typename Object>
  auto readFields(const toml::table &Table, const std::string &Path, Object &Into) -> void {
    for (const auto &Descriptor : KindTraits<Object>::Fields) {
      const auto FieldPath = fmt::format("{}.{}", Path, Descriptor.m_Name);
      const auto *Node = Table.get(Descriptor.m_Name);
      if (Node == nullptr) {
        if (Descriptor.m_Required) {
          report(Table.source(), FieldPath, "is missing");
        }
        continue;
      }
      recordPosition(Node->source(), FieldPath);
      std::visit([&](auto Member) { readMember(*Node, FieldPath, Into.*Member); },
                 Descriptor.m_Member);
    }
  }

  template <typename Value>
  auto readMember(const toml::node &Node, const std::string &Path, Value &Out) -> void {
    if (const auto Problem = readValue(Node, Out); !Problem.empty()) {
      report(Node.source(), Path, std::string(Problem));
    }
  }

  auto readMember(const toml::node &Node, const std::string &Path, std::vector<std::string> &Out)
      -> void {
    const auto *Array = Node.as_array();
    if (Array == nullptr) {
      report(Node.source(), Path, "must be a list of texts");
      return;
    }
    for (const auto &Element : *Array) {
      const auto ElementPath = fmt::format("{}[{}]", Path, Out.size());
      recordPosition(Element.source(), ElementPath);
      readMember(Element, ElementPath, Out.emplace_back());
    }
  }

  template <typename Object>
  auto reportUnknownKeys(const toml::table &Table, const std::string &Path) -> void {
    const auto &Fields = KindTraits<Object>::Fields;
    for (const auto &[Key, Node] : Table) {
      const auto IsKnown =
          std::any_of(Fields.begin(), Fields.end(), [&Key = Key](const auto &Descriptor) {
            return Descriptor.m_Name == Key.str();
          });
      if (!IsKnown) {
        report(Node.source(), fmt::format("{}.{}", Path, Key.str()), "is not a known key");
      }
    }
  }

  const std::string &m_File;
  ReadResult &m_Result;
};

} // namespace

auto readToml(const ObjectFile &File, ReadResult &Result) -> void {
  auto Reader = FileReader(File.m_Name, Result);
  try {
    Reader.read(toml::parse(std::string_view(File.m_Text)));
  } catch (const toml::parse_error &Error) {
    Result.m_HasSyntaxError = true;
    Reader.report(Error.source(), "", std::string(Error.description()));
  }
}

} // namespace geraniumlift::objects::internal
