package wharfhinge.decisions.copies;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import wharfhinge.decisions.copies.CopyScheduler.OrderAnswer;

/** Keeps the orders that wait for copies to become ready, and answers them. */
final class LoadOrders {
    private final CopyScheduler.Actions actions;
    private final Map<Long, FunctionState> functionByOrder = new LinkedHashMap<>();

    LoadOrders(CopyScheduler.Actions actions) {
        this.actions = actions;
    }

    /** Answers an order if its copies are ready, otherwise keeps it until they are. */
    void answerOrAwait(FunctionState function, LoadOrder order) {
        if (answerIfSatisfied(function, order)) {
            return;
        }
        function.orders().add(order);
        functionByOrder.put(order.id(), function);
        function.copies().stream().filter(Copy::isLive).forEach(Copy::markOrdered);
    }

    /** Removes an order without answering it. Returns its function if the order was waiting. */
    Optional<FunctionState> cancel(long orderId) {
        Optional<FunctionState> function = Optional.ofNullable(functionByOrder.remove(orderId));
        function.ifPresent(state -> state.orders().removeIf(order -> order.id() == orderId));
        return function;
    }

    /** A copy became ready: answers the orders for which enough copies are ready now. */
    void onCopyReady(FunctionState function) {
        for (Iterator<LoadOrder> orders = function.orders().iterator(); orders.hasNext(); ) {
            LoadOrder order = orders.next();
            if (answerIfSatisfied(function, order)) {
                orders.remove();
                functionByOrder.remove(order.id());
            }
        }
    }

    /** A load failed and is not retried: answers all orders of the function, those that lack copies with an error. */
    void onLoadFailed(FunctionState function) {
        for (LoadOrder order : function.orders()) {
            if (!answerIfSatisfied(function, order)) {
                actions.completeOrder(order.id(), OrderAnswer.ERROR, function.readyCopies());
            }
            functionByOrder.remove(order.id());
        }
        function.orders().clear();
    }

    /** Rejects all orders of a function because the worker is draining. */
    void rejectAll(FunctionState function) {
        for (LoadOrder order : List.copyOf(function.orders())) {
            actions.completeOrder(order.id(), OrderAnswer.FULL, function.readyCopies());
            functionByOrder.remove(order.id());
        }
        function.orders().clear();
    }

    private boolean answerIfSatisfied(FunctionState function, LoadOrder order) {
        int readyCopies = function.readyCopies();
        if (readyCopies < order.wantedCopies()) {
            return false;
        }
        actions.completeOrder(order.id(), order.isPartial() ? OrderAnswer.FULL : OrderAnswer.SERVED, readyCopies);
        return true;
    }
}
