// Orders an engine has received, with the check of the fencing number. Use:
//   OrderReply r = receiveOrder(book, {"o1", 7, "set_role"}, checkFencing);
#ifndef CHERVIL_TESTING_STANDIN_ORDERBOOK_H
#define CHERVIL_TESTING_STANDIN_ORDERBOOK_H

#include <cstdint>
#include <map>
#include <string>

namespace chervil::standin {

enum class OrderState : std::uint8_t { Running, Done, Failed };

struct EngineOrder {
  std::string Id;
  std::uint64_t Fencing = 0;
  std::string Kind;
  /// Model, adapter or role, by kind.
  std::string Subject;
  OrderState State = OrderState::Running;
};

struct OrderBook {
  std::uint64_t HighestFencing = 0;
  std::uint64_t Refused = 0;
  std::map<std::string, EngineOrder> Orders;
};

enum class OrderReply : std::uint8_t { New, Known, OldFencing };

/// Notes the order unless it is refused. A known order is not refused: its sender only asks for its
/// state.
inline OrderReply receiveOrder(OrderBook &book, EngineOrder order, bool checkFencing) {
  if (book.Orders.contains(order.Id))
    return OrderReply::Known;
  if (checkFencing && order.Fencing < book.HighestFencing) {
    ++book.Refused;
    return OrderReply::OldFencing;
  }
  book.HighestFencing = std::max(book.HighestFencing, order.Fencing);
  std::string id = order.Id;
  book.Orders.emplace(std::move(id), std::move(order));
  return OrderReply::New;
}

} // namespace chervil::standin

#endif
