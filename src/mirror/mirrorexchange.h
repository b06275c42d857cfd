#pragma once

#include "mirror/mirrorreader.h"
#include "mirror/storemirror.h"

namespace geraniumlift::mirror {

/// Passes store records on between routers: answers requests from what this router knows, and
/// applies the updates that it gets. Does no input or output itself.
class MirrorExchange {
public:
  /// Self is the router's name; the prefixes must be the same on all routers.
  /// What is known of the keys with a prefix may be older by its allowance, if it has one, before
  /// it counts as old.
  MirrorExchange(std::string Self, std::vector<std::string> Prefixes, ReaderOptions Options,
                 std::map<std::string, std::chrono::milliseconds> AgeAllowances = {});

  /// Sets or removes a record; see StoreMirror.
  auto put(const keyvalue::KeyValue &Item, std::string Meaning) -> void;
  auto remove(const std::string &Key, std::int64_t Revision, base::SteadyTime Now) -> void;

  /// Records that the store has confirmed, at the given time, all changes of the keys with the
  /// prefix up to the revision. The prefix may be shorter than the mirrored ones.
  auto onConfirmed(std::string_view Prefix, std::int64_t Revision, base::SteadyTime ConfirmedAt)
      -> void;

  /// Records that only these keys with the prefix existed at the revision, which the store
  /// confirmed at the given time.
  auto onListed(std::string_view Prefix, const std::set<std::string> &Keys, std::int64_t Revision,
                base::SteadyTime ConfirmedAt) -> void;

  [[nodiscard]] auto prefixes() const -> const std::vector<std::string> & { return m_Prefixes; }

  /// Revision up to which all changes of the keys with a mirrored prefix are known.
  [[nodiscard]] auto revisionOf(std::string_view Prefix) const -> std::int64_t;

  /// Builds a request that is sent now.
  [[nodiscard]] auto buildRequest(base::SteadyTime Now) -> MirrorRequest;
  [[nodiscard]] auto answer(const MirrorRequest &Message, base::SteadyTime Now) const
      -> MirrorUpdate;

  /// Returns the changes of the update that are new to this router.
  auto apply(const MirrorUpdate &Message) -> std::vector<keyvalue::WatchEvent>;

  /// The decisions that the updates lead to.
  [[nodiscard]] auto reader() const -> const MirrorReader & { return m_Reader; }
  [[nodiscard]] auto reader() -> MirrorReader & { return m_Reader; }

  /// Time at which the store last confirmed all that this router knows of every prefix, to this
  /// router itself, later by the allowances; nothing if it has not confirmed each prefix.
  [[nodiscard]] auto confirmedAt() const -> std::optional<base::SteadyTime>;

  /// As of when this router knows all prefixes, whether from the store or from a relay; nothing if
  /// it does not know each.
  [[nodiscard]] auto knownAt() const -> std::optional<base::SteadyTime>;

  /// Drops what is no longer needed.
  auto removeExpired(base::SteadyTime Now) -> void { m_Mirror.dropOldRemovals(Now); }

private:
  /// When the store confirmed the knowledge of a prefix, later by its allowance.
  [[nodiscard]] auto confirmedAt(std::size_t Index) const -> std::optional<base::SteadyTime>;

  /// Size of the changes of one prefix in an update, in bytes. A reader gets the rest with its next
  /// request.
  static constexpr auto MaxUpdateBytes = std::size_t{8} * 1024;

  /// Size of a record in bytes above which it is not passed on, since an update must fit into one
  /// datagram. Its readers are told to read it from the store.
  static constexpr auto MaxRecordBytes = std::size_t{40} * 1024;

  std::string m_Self;
  std::vector<std::string> m_Prefixes;
  std::map<std::string, std::chrono::milliseconds> m_AgeAllowances;
  StoreMirror m_Mirror;
  MirrorReader m_Reader;

  /// When the store last confirmed the knowledge of each prefix to this router itself.
  std::vector<std::optional<base::SteadyTime>> m_ConfirmedAt;
};

} // namespace geraniumlift::mirror
