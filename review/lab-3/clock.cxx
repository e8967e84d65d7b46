// Prints the milliseconds of the clock that the records use; with an argument,
// those of the time of day.
#include "http.hxx"

int main(int argc, char**) {
  const clockid_t clock = argc > 1 ? CLOCK_REALTIME : CLOCK_MONOTONIC;
  std::printf("%lld\n", static_cast<long long>(lab::NowMs(clock)));
}
