/// @file
/// Signals that arrive before the program is ready to handle them.
#ifndef BERYLLANE_SRC_NET_SIGNALS_H_
#define BERYLLANE_SRC_NET_SIGNALS_H_

namespace beryllane::net {

/// Holds back the signals that stop or reload the process, whose default action
/// would end it. @pre called before threads start.
void HoldSignals();

/// Delivers the signals that were held back. @pre their handlers are set.
void ReleaseSignals();

}  // namespace beryllane::net

#endif  // BERYLLANE_SRC_NET_SIGNALS_H_
