#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "cassiastile/base/findings.hpp"

namespace cassiastile::config {

// An IP number and a port, written 127.0.0.1:8080 or [::1]:8080.
struct SocketAddress {
  std::string ip;
  std::uint16_t port = 0;

  bool operator==(const SocketAddress&) const = default;
};

std::string FormatAddress(const SocketAddress& address);
std::optional<SocketAddress> ParseAddress(std::string_view text);

// The settings of a program: one object of JSON with comments. Each field is
// asked for once; a field with a fault is read as its default. Finish returns
// all that was wrong.
class Settings {
 public:
  // Fails on text that can't be parsed. `file` is the name shown in findings.
  static tl::expected<Settings, base::Findings> Parse(std::string_view text,
                                                      const std::string& file);
  // Reads a file; one that can't be read is a finding too.
  static tl::expected<Settings, base::Findings> Load(const std::string& path);

  Settings(Settings&& other) noexcept;
  Settings& operator=(Settings&& other) noexcept;
  ~Settings();

  // Text that must be there, and text with a default.
  std::string Text(std::string_view name);
  std::string Text(std::string_view name, std::string_view absent);
  bool Flag(std::string_view name, bool absent);
  // A whole number in a range, with a default.
  std::int64_t Number(std::string_view name,
                      std::int64_t absent,
                      std::int64_t least,
                      std::int64_t greatest);
  // A duration of up to one day; the field's name should end in _ms.
  std::chrono::milliseconds Milliseconds(std::string_view name,
                                         std::chrono::milliseconds absent);
  // Empty when the field is absent.
  std::vector<std::string> TextList(std::string_view name);
  // An address that must be there, and one with a default.
  SocketAddress Address(std::string_view name);
  SocketAddress Address(std::string_view name, const SocketAddress& absent);
  // Empty when the field is absent.
  std::vector<SocketAddress> AddressList(std::string_view name);

  // Adds a finding about a field, for rules of the program's own.
  void Report(std::string_view name, std::string message);

  // Everything that was wrong, fields that were not asked for among it.
  base::Findings Finish();

 private:
  struct State;
  explicit Settings(std::unique_ptr<State> state);

  std::unique_ptr<State> m_state;
};

}  // namespace cassiastile::config
