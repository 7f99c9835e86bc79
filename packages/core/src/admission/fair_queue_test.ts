import * as fc from "fast-check";
import { describe, expect, it } from "vitest";
import type { AdmissionQueue, QueuedRequest } from "./admission_queue.js";
import { FairQueue } from "./fair_queue.js";
import { FifoQueue } from "./fifo_queue.js";

// fast-check prints the seed and the path of a failing case.
const PROPERTY_OPTIONS = { seed: 20_261, numRuns: 200 };

type Operation =
  | {
    readonly type: "enqueue";
    readonly request: Omit<QueuedRequest, "attemptId">;
  }
  | { readonly type: "dequeue" }
  | { readonly type: "remove"; readonly index: number };

const weights: Record<string, number> = { a: 1, b: 2, c: 0.5, d: 1 };

function requestOf(maxPriority: number) {
  return fc.record({
    account: fc.constantFrom(...Object.keys(weights)),
    priority: fc.integer({ min: 0, max: maxPriority }),
    workTokens: fc.integer({ min: 0, max: 1_000 }),
    deadlineMs: fc.option(fc.integer({ min: 0, max: 50 }), { nil: undefined }),
  }).map(({ deadlineMs, ...request }) => ({
    ...request,
    weight: weights[request.account],
    ...(deadlineMs === undefined ? {} : { deadlineMs }),
  }));
}

function operationsOf(maxPriority: number): fc.Arbitrary<Operation[]> {
  const push = requestOf(maxPriority).map((request) =>
    ({ type: "enqueue", request }) as const
  );
  const remove = fc.nat(99).map((index) =>
    ({ type: "remove", index }) as const
  );
  return fc.array(
    fc.oneof(
      { weight: 4, arbitrary: push },
      { weight: 2, arbitrary: fc.constant({ type: "dequeue" } as const) },
      { weight: 1, arbitrary: remove },
    ),
    // Arrays of the default size would hardly ever fill a queue.
    { maxLength: 120, size: "max" },
  );
}

/** Applies operations and calls `check` with what each one did. */
function run(
  queue: AdmissionQueue,
  operations: readonly Operation[],
  check: (step: {
    readonly enqueued?: QueuedRequest;
    readonly removed?: QueuedRequest | undefined;
    readonly waitingBefore: readonly QueuedRequest[];
  }) => void,
): void {
  operations.forEach((operation, n) => {
    const waitingBefore = [...queue];
    if (operation.type === "enqueue") {
      const enqueued = { ...operation.request, attemptId: `r${n}` };
      check({ enqueued, removed: queue.enqueue(enqueued), waitingBefore });
    } else if (operation.type === "dequeue") {
      check({ removed: queue.dequeue(), waitingBefore });
    } else {
      const id = waitingBefore[operation.index % (waitingBefore.length || 1)]
        ?.attemptId ?? "none";
      check({ removed: queue.remove(id), waitingBefore });
    }
  });
}

function drain(queue: AdmissionQueue): QueuedRequest[] {
  const dequeued: QueuedRequest[] = [];
  for (let next = queue.dequeue(); next; next = queue.dequeue()) {
    dequeued.push(next);
  }
  return dequeued;
}

const sumWork = (requests: readonly QueuedRequest[]) =>
  requests.reduce((sum, request) => sum + request.workTokens, 0);

const queueFactories = {
  FairQueue: (max: number) => new FairQueue(max),
  FifoQueue: (max: number) => new FifoQueue(max),
};

describe.each(Object.entries(queueFactories))("%s", (_name, create) => {
  describe("accounting", () => {
    it("stays within its size, loses no request and ends with no work", () => {
      fc.assert(
        fc.property(operationsOf(2), fc.integer({ min: 1, max: 20 }), (
          operations,
          max,
        ) => {
          const queue = create(max);
          let waiting = 0;
          run(queue, operations, ({ enqueued, removed }) => {
            waiting += (enqueued ? 1 : 0) - (removed ? 1 : 0);
            expect(queue.size).toBe(waiting);
            expect(queue.size).toBeLessThanOrEqual(max);
            expect(queue.workTokens).toBe(sumWork([...queue]));
            expect(removed !== undefined && queue.has(removed.attemptId)).toBe(
              false,
            );
          });
          expect(drain(queue)).toHaveLength(waiting);
          expect(queue.workTokens).toBe(0);
        }),
        PROPERTY_OPTIONS,
      );
    });

    it("rejects an attempt that is already waiting", () => {
      const queue = create(5);
      const request = { ...base, attemptId: "x" };
      queue.enqueue(request);
      expect(() => queue.enqueue(request)).toThrow(RangeError);
    });
  });

  describe("workAheadOf", () => {
    it("is the work that is served before the request", () => {
      fc.assert(
        fc.property(operationsOf(2), requestOf(2), (operations, request) => {
          const queue = create(500);
          run(queue, operations, () => {});
          const added = { ...request, attemptId: "added" };
          const ahead = queue.workAheadOf(added);
          queue.enqueue(added);
          const order = drain(queue);
          const before = order.slice(0, order.indexOf(added));
          expect(ahead).toBe(sumWork(before));
        }),
        PROPERTY_OPTIONS,
      );
    });
  });
});

const base = { account: "a", weight: 1, priority: 5, workTokens: 10 };

describe("FairQueue", () => {
  describe("order", () => {
    it("serves by priority and within an account by deadline", () => {
      fc.assert(
        fc.property(operationsOf(3), (operations) => {
          const queue = new FairQueue(500);
          run(queue, operations, () => {});
          const order = drain(queue);
          order.forEach((request, i) => {
            const later = order.slice(i + 1);
            const overtaken = later.filter((other) =>
              other.priority > request.priority ||
              (other.priority === request.priority &&
                other.account === request.account &&
                (other.deadlineMs ?? Infinity) <
                  (request.deadlineMs ?? Infinity))
            );
            expect(overtaken).toEqual([]);
          });
        }),
        PROPERTY_OPTIONS,
      );
    });

    // The bound holds for intervals in which both accounts wait throughout.
    it("bounds the difference in service of two waiting accounts", () => {
      const work = fc.integer({ min: 1, max: 1_000 });
      fc.assert(
        fc.property(
          fc.array(work, { minLength: 40, maxLength: 40 }),
          fc.array(work, { minLength: 40, maxLength: 40 }),
          fc.integer({ min: 0, max: 30 }),
          (worksA, worksB, servedFirst) => {
            const queue = new FairQueue(200);
            const add = (account: string, workSizes: number[]) =>
              workSizes.forEach((workTokens, n) =>
                queue.enqueue({
                  ...base,
                  account,
                  weight: weights[account],
                  workTokens,
                  attemptId: `${account}${n}`,
                })
              );
            // An account must not get extra service for a time in which it was
            // idle.
            queue.enqueue({
              ...base,
              account: "b",
              weight: 2,
              attemptId: "old",
            });
            queue.dequeue();
            add("a", worksA);
            // Service before the other account arrives must not count.
            for (let n = 0; n < servedFirst; n++) {
              queue.dequeue();
            }
            add("b", worksB);
            const limit = Math.max(...worksA) / weights.a +
              Math.max(...worksB) / weights.b;
            const served: Record<string, number> = { a: 0, b: 0 };
            const remaining: Record<string, number> = {
              a: 40 - servedFirst,
              b: 40,
            };
            while (remaining.a > 0 && remaining.b > 0) {
              const { account, workTokens } = queue.dequeue() as QueuedRequest;
              served[account] += workTokens / weights[account];
              remaining[account]--;
              expect(Math.abs(served.a - served.b)).toBeLessThanOrEqual(limit);
            }
          },
        ),
        PROPERTY_OPTIONS,
      );
    });

    it("does not let requests without tokens delay other accounts", () => {
      const queue = new FairQueue(10);
      for (let n = 0; n < 5; n++) {
        queue.enqueue({ ...base, workTokens: 0, attemptId: `a${n}` });
      }
      queue.enqueue({ ...base, account: "b", attemptId: "b" });
      const order = drain(queue).map((request) => request.account);
      expect(order.indexOf("b")).toBeLessThanOrEqual(1);
    });

    it("does not charge an account for a cancelled request", () => {
      const queue = new FairQueue(10);
      queue.enqueue({ ...base, workTokens: 1_000, attemptId: "cancelled" });
      queue.remove("cancelled");
      queue.enqueue({ ...base, attemptId: "a" });
      queue.enqueue({ ...base, account: "b", attemptId: "b" });
      expect(queue.dequeue()?.attemptId).toBe("a");
    });

    it("keeps the order when it evicts idle accounts", () => {
      const queue = new FairQueue(10);
      queue.enqueue({ ...base, workTokens: 1e6, attemptId: "big" });
      queue.dequeue();
      for (let n = 0; n < 300; n++) {
        queue.enqueue({ ...base, account: `x${n}`, attemptId: `x${n}` });
        queue.dequeue();
      }
      queue.enqueue({ ...base, attemptId: "a" });
      queue.enqueue({ ...base, account: "b", attemptId: "b" });
      expect(queue.dequeue()?.attemptId).toBe("b");
    });
  });

  describe("when the queue is full", () => {
    it("drops from the account with the largest backlog, lowest priority", () => {
      fc.assert(
        fc.property(operationsOf(2), (operations) => {
          const queue = new FairQueue(8);
          run(queue, operations, ({ removed, enqueued, waitingBefore }) => {
            if (enqueued === undefined || removed === undefined) {
              return;
            }
            expect(waitingBefore).toHaveLength(8);
            const all = [...waitingBefore, enqueued];
            const normalizedBacklog = (account: string) =>
              all.filter((request) => request.account === account)
                .reduce(
                  (sum, { weight, workTokens }) =>
                    sum + Math.max(workTokens, 1) / weight,
                  0,
                );
            const largest = Math.max(
              ...all.map((r) => normalizedBacklog(r.account)),
            );
            expect(normalizedBacklog(removed.account)).toBeCloseTo(largest, 6);
            const lower = all.filter((request) =>
              request.account === removed.account &&
              request.priority < removed.priority
            );
            expect(lower).toEqual([]);
          });
        }),
        PROPERTY_OPTIONS,
      );
    });

    it("drops the new request when the accounts are equal", () => {
      const queue = new FairQueue(2);
      queue.enqueue({ ...base, workTokens: 5, attemptId: "a1" });
      queue.enqueue({ ...base, account: "b", attemptId: "b" });
      const added = { ...base, workTokens: 5, attemptId: "a2" };
      expect(queue.enqueue(added)).toBe(added);
    });
  });
});

describe("FifoQueue", () => {
  it("serves in order of arrival and drops the newest", () => {
    const queue = new FifoQueue(2);
    queue.enqueue({ ...base, priority: 0, attemptId: "1" });
    queue.enqueue({ ...base, priority: 9, attemptId: "2" });
    const third = { ...base, priority: 9, attemptId: "3" };
    expect(queue.enqueue(third)).toBe(third);
    expect(drain(queue).map((r) => r.attemptId)).toEqual(["1", "2"]);
  });
});
