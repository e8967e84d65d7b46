#include "src/net/signals.h"

#include <signal.h>

#include <initializer_list>

namespace beryllane::net {
namespace {

void ChangeMask(int how) {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int signal : {SIGHUP, SIGINT, SIGTERM}) {
    sigaddset(&signals, signal);
  }
  pthread_sigmask(how, &signals, nullptr);
}

}  // namespace

void HoldSignals() { ChangeMask(SIG_BLOCK); }

void ReleaseSignals() { ChangeMask(SIG_UNBLOCK); }

}  // namespace beryllane::net
