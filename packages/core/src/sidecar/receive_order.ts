import type { Order } from "../wire/index.js";
import { drain } from "./endpoint_state.js";
import type { SidecarEvent } from "./sidecar_event.js";
import type { SidecarContext } from "./sidecar_state.js";

/**
 * Handles an order to the endpoint, such as to drain or to load a model.
 * Refuses the order if its fencing number is lower than the highest accepted
 * one, or while the highest one is not known yet after a restart. The sidecar
 * makes this check whether or not the endpoint does, since all orders reach the
 * endpoint through the sidecar.
 */
export function receiveOrder(
  ctx: SidecarContext,
  connectionId: string,
  order: Order,
): void {
  const { state } = ctx;
  if (state.highestFencingNumber === undefined) {
    const reason = "highest fencing number not known yet";
    replyToOrder(ctx, connectionId, order.orderId, false, reason);
    return;
  }
  if (order.fencingNumber < state.highestFencingNumber) {
    ctx.effects.push({
      type: "log",
      event: "order_refused",
      fields: {
        order_id: order.orderId,
        fencing_number: order.fencingNumber,
        highest: state.highestFencingNumber,
      },
    });
    replyToOrder(
      ctx,
      connectionId,
      order.orderId,
      false,
      "old fencing number",
    );
    return;
  }
  state.highestFencingNumber = order.fencingNumber;
  if (order.kind === "drain") {
    drain(ctx, false);
    replyToOrder(ctx, connectionId, order.orderId, true, "draining");
    return;
  }
  ctx.effects.push({ type: "run_order", connectionId, order });
}

/**
 * Reports to the sender of an order whether the endpoint accepted the order,
 * with the reason.
 */
export function reportOrderResult(
  ctx: SidecarContext,
  event: Extract<SidecarEvent, { type: "order_answered" }>,
): void {
  const { connectionId, orderId, accepted, reason } = event;
  replyToOrder(ctx, connectionId, orderId, accepted, reason);
}

function replyToOrder(
  ctx: SidecarContext,
  connectionId: string,
  orderId: string,
  accepted: boolean,
  reason: string,
): void {
  ctx.effects.push({
    type: "send",
    connectionId,
    message: {
      type: "order_reply",
      orderId,
      accepted,
      reason,
      highestFencingNumber: ctx.state.highestFencingNumber ?? 0,
    },
  });
}
