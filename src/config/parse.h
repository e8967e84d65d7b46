/// @file
/// Parses and validates configuration documents.
#ifndef BERYLLANE_SRC_CONFIG_PARSE_H_
#define BERYLLANE_SRC_CONFIG_PARSE_H_

#include <boost/leaf/result.hpp>
#include <nlohmann/json.hpp>
#include <string>

#include "beryllane/clock/runtime_clock.h"
#include "beryllane/configlog/config_log.h"
#include "src/config/config.h"
#include "src/config/field_reader.h"

namespace beryllane::config {

/// Parses a document at time `now`: exceptions that have not expired replace
/// the values they name. On failure the LEAF error object is `Faults`. The
/// verdict on a document does not depend on `now`, so that every router
/// reaches the same one. @pre none. Thread-safe.
boost::leaf::result<Config> ParseConfig(const nlohmann::json& document,
                                        std::uint64_t version, WallTime now);

/// Like `ParseConfig`, with the faults as a value. Returns true on success.
/// @pre none. Thread-safe.
bool TryParseConfig(const nlohmann::json& document, std::uint64_t version,
                    WallTime now, Config& config, Faults& faults);

/// Judges a document for the configuration log. @pre none. Thread-safe.
configlog::Validity Validate(const nlohmann::json& document);

/// One line per fault: pointer and message. @pre none. Thread-safe.
std::string ToText(const Faults& faults);

/// Parses `2027-01-31T12:00:00Z`; other texts give `nullopt`. @pre none.
/// Thread-safe.
std::optional<WallTime> ParseUtc(const std::string& text);

}  // namespace beryllane::config

#endif  // BERYLLANE_SRC_CONFIG_PARSE_H_
