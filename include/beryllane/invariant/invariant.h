/// @file
/// Checks of internal invariants: counted and logged in production, fatal in
/// tests.
#ifndef BERYLLANE_INVARIANT_INVARIANT_H_
#define BERYLLANE_INVARIANT_INVARIANT_H_

#include <cstdint>
#include <map>
#include <string>

namespace beryllane::invariant {

/// Called for each violation with the invariant's id and its source location.
using Handler = void (*)(const char* id, const char* file, int line);

/// Replaces the handler; null restores the default, which only counts.
/// @pre none. Thread-safe.
void SetHandler(Handler handler);

/// Sets whether a violation aborts the process. @pre none. Thread-safe.
void SetFatal(bool fatal);

/// Counts a violation, calls the handler and, if violations are fatal, aborts.
/// @pre `id` is a literal. Thread-safe.
void ReportViolation(const char* id, const char* file, int line);

/// Violation counts by id since the process started. @pre none. Thread-safe.
std::map<std::string, std::uint64_t> Counts();

}  // namespace beryllane::invariant

/// Reports a violation unless `condition` holds. docs/errors.md lists the ids.
#ifndef BERYLLANE_INVARIANT
#define BERYLLANE_INVARIANT(id, condition) \
  ((condition)                             \
       ? static_cast<void>(0)              \
       : ::beryllane::invariant::ReportViolation((id), __FILE__, __LINE__))
#endif

#endif  // BERYLLANE_INVARIANT_INVARIANT_H_
