import { randomUUID } from "node:crypto";
import {
  type Clock,
  type Message,
  type MessageOf,
  type Millis,
  type ObjectStore,
  type Order,
  StoreConflictError,
  StoreError,
} from "@anvildeal/core";
import { OrderError } from "./order_error.js";

/**
 * An order is sent only within this time after the start of the call that
 * acquires its fencing number: a process that was paused for longer must not
 * use the number.
 */
const LEASE_MS: Millis = 3000;

const REPLY_TIMEOUT_MS: Millis = 3000;

export type OrderReply = MessageOf<"order_reply">;

export interface OrderIssuerOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  /** Sends a message to the sidecar of an endpoint. */
  readonly send: (endpointId: string, message: Message) => void;
}

/** Key of the object whose version is the fencing number of an endpoint. */
export function orderKey(endpointId: string): string {
  return `orders/${endpointId}`;
}

/**
 * Issues orders to endpoints, such as to drain or to load a model, under a
 * lease.
 *
 * The version of the object `orders/<endpoint>` is the fencing number: each
 * lease holder writes the object and thus gets a number above all earlier ones.
 * The sidecar refuses lower numbers, so that the late order of a holder that
 * was paused has no effect, even if its clock did not show the pause.
 */
export class OrderIssuer {
  readonly #options: OrderIssuerOptions;
  readonly #pendingReplies = new Map<string, (reply: OrderReply) => void>();

  constructor(options: OrderIssuerOptions) {
    this.#options = options;
  }

  /**
   * Sends an order and waits for the reply, which may refuse the order. Rejects
   * with {@link OrderError}.
   */
  async issue(
    endpointId: string,
    kind: Order["kind"],
    parameters: Readonly<Record<string, string>>,
    by: string,
  ): Promise<OrderReply> {
    const { clock, send } = this.#options;
    const startedMs = clock.nowMs();
    const fencingNumber = await this.#acquireLease(endpointId, kind, by);
    if (clock.nowMs() - startedMs > LEASE_MS) {
      throw new OrderError(
        "lease_lost",
        `The lease on ${endpointId} expired before the order was sent`,
      );
    }
    const orderId = randomUUID();
    const reply = this.#awaitReply(orderId, endpointId);
    send(endpointId, {
      type: "order",
      orderId,
      fencingNumber,
      kind,
      parameters: { ...parameters },
    });
    return await reply;
  }

  /** Handles the reply to an order; ignores replies to unknown orders. */
  handleReply(reply: OrderReply): void {
    this.#pendingReplies.get(reply.orderId)?.(reply);
  }

  async #acquireLease(
    endpointId: string,
    kind: string,
    by: string,
  ): Promise<number> {
    const { clock, store } = this.#options;
    const key = orderKey(endpointId);
    const value = { holder: randomUUID(), kind, by, at_ms: clock.wallMs() };
    try {
      const current = await store.get(key);
      return current
        ? await store.update(key, value, current.version)
        : await store.create(key, value);
    } catch (error) {
      if (error instanceof StoreConflictError) {
        throw new OrderError(
          "lease_lost",
          `Another order to ${endpointId} was issued at the same time`,
          error,
        );
      }
      if (error instanceof StoreError) {
        throw new OrderError(
          "store_failed",
          "No fencing number could be acquired from the object API; the order was not sent",
          error,
        );
      }
      throw error;
    }
  }

  #awaitReply(orderId: string, endpointId: string): Promise<OrderReply> {
    return new Promise((resolve, reject) => {
      const timer = setTimeout(() => {
        this.#pendingReplies.delete(orderId);
        reject(
          new OrderError(
            "unreachable",
            `${endpointId} did not reply to the order, which may have taken effect`,
          ),
        );
      }, REPLY_TIMEOUT_MS);
      this.#pendingReplies.set(orderId, (reply) => {
        clearTimeout(timer);
        this.#pendingReplies.delete(orderId);
        resolve(reply);
      });
    });
  }
}
