// Callers who keep their connections.

import { setTimeout as sleep } from "node:timers/promises";
import { CallerConnection, nextRequestId } from "./caller.js";

/** Sends the same request again and again. */
export class KeepingCallers {
  results = [];
  #free = [];
  #router;
  #path;
  #options;

  /** @param options Of the request; the callers wait until its deadline. */
  constructor(router, path, options) {
    this.#router = router;
    this.#path = path;
    this.#options = { ...options, waitMs: options.deadlineMs };
  }

  /** Sends a request on a connection that has none, or on a new one. */
  async send() {
    const connection = this.#free.pop() ?? new CallerConnection(this.#router);
    const result = await connection.send(
      nextRequestId("q"),
      this.#path,
      this.#options,
    );
    this.results.push(result);
    if (result.whole && !connection.hasEnded) {
      this.#free.push(connection);
    } else {
      connection.close();
    }
  }

  /** Requests that had no answer at this time after they were sent. */
  unansweredAt(waitMs) {
    return this.results.filter(({ tookMs, whole }) =>
      !whole || tookMs > waitMs
    );
  }

  reportLate(report, late, replicas) {
    const reached = reachedIds(replicas);
    for (const { closed, id, sentMs, status, tookMs } of late) {
      report.add(
        `${id} ${status ?? (closed ? "connection ended" : "no answer")} after ${
          Math.round(tookMs)
        } ms${reached.has(id) ? ", reached a replica" : ""}`,
        sentMs,
      );
    }
  }
}

/** Ids of the requests that replicas received. */
export function reachedIds(replicas) {
  return new Set(
    replicas.flatMap(({ requests }) =>
      requests.map(({ headers }) => headers.get("anvildeal-attempt-id"))
    ),
  );
}

/** Calls a function as often as that, until the load is over. */
export async function repeat(perS, isOver, act) {
  const startedMs = performance.now();
  let count = 0;
  while (!isOver()) {
    const due = (performance.now() - startedMs) / 1000 * perS;
    for (; count < due; count++) {
      act();
    }
    await sleep(5);
  }
  return count;
}
