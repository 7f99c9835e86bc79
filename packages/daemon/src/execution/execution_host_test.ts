import {
  type CallRefusal,
  Clock,
  EXPIRY_MARGIN_MS,
  RECORD_RETENTION_MS,
} from "@anvildeal/core";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { HttpObjectStore } from "../store/http_object_store.js";
import {
  ObjectServer,
  type ServerFault,
} from "../store/object_server_test_fixture.js";
import { ExecutionHost, type KeyedCallHandle } from "./execution_host.js";
import { LocalExecutionRecordExpiry } from "./local_execution_record_expiry.js";
import { ExecutionRecordSweeper } from "./execution_record_sweeper.js";

/**
 * System clock that can be set ahead and whose monotonic time can be stopped.
 */
class TestClock extends Clock {
  aheadMs = 0;
  #stoppedAtMs: number | undefined;

  stop(): void {
    this.#stoppedAtMs = performance.now();
  }

  nowMs(): number {
    return (this.#stoppedAtMs ?? performance.now()) + this.aheadMs;
  }

  wallMs(): number {
    return Date.now() + this.aheadMs;
  }
}

const realSetTimeout = setTimeout;

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => realSetTimeout(resolve, ms));
}

let server: ObjectServer;
let store: HttpObjectStore;
let clock: TestClock;
let hosts: ExecutionHost[];

beforeEach(async () => {
  server = await ObjectServer.start();
  store = new HttpObjectStore({ url: server.url, requestTimeoutMs: 1_000 });
  clock = new TestClock();
  hosts = [];
});

afterEach(async () => {
  vi.useRealTimers();
  hosts.forEach((host) => host.dispose());
  await store.dispose();
  await server.dispose();
});

function createHost(): ExecutionHost {
  const host = new ExecutionHost({ store, clock, endpointId: "e" });
  hosts.push(host);
  return host;
}

interface Attempt {
  readonly handle: KeyedCallHandle;
  /**
   * Results that the host has reported for the attempt; a correct host reports
   * exactly one.
   */
  readonly results: ("start" | CallRefusal)[];
  readonly firstResult: Promise<"start" | CallRefusal>;
}

function begin(host: ExecutionHost, idempotencyKey = "k"): Attempt {
  const results: Attempt["results"] = [];
  let resolve: (result: "start" | CallRefusal) => void;
  const firstResult = new Promise<"start" | CallRefusal>((done) => {
    resolve = done;
  });
  const addResult = (result: "start" | CallRefusal) => {
    results.push(result);
    resolve(result);
  };
  const handle = host.begin({
    attemptId: "a",
    account: "account",
    idempotencyKey,
    fingerprint: "f",
    startByMs: clock.nowMs() + 30_000,
  }, {
    startCall: () => addResult("start"),
    refuseCall: addResult,
  });
  return { handle, results, firstResult };
}

const storedAnswer = {
  status: 201,
  headers: { "content-type": "text/plain" },
  body: new TextEncoder().encode("done"),
};

function recordState(): unknown {
  const [object] = server.objects.values();
  return (object?.value as { state?: string } | undefined)?.state;
}

describe("ExecutionHost", () => {
  describe("while the store responds", () => {
    it("starts a call once and returns its answer to a retry", async () => {
      const first = begin(createHost());
      expect(await first.firstResult).toBe("start");
      expect(await begin(createHost()).firstResult).toMatchObject({
        reason: "duplicate_running",
        outcome: "unknown",
      });
      first.handle.finished(storedAnswer);
      await vi.waitFor(() => expect(recordState()).toBe("finished"));
      expect(await begin(createHost()).firstResult).toMatchObject({
        reason: "duplicate_finished",
        answer: storedAnswer,
      });
      expect([...server.objects.keys()][0]).toMatch(/^calls\/[0-9a-f]{64}$/);
    });

    it("allows another attempt after a call that did not run", async () => {
      const host = createHost();
      const first = begin(host);
      await first.firstResult;
      first.handle.failed("not-run");
      await vi.waitFor(() => expect(recordState()).toBeUndefined(), 5_000);
      expect(await begin(host).firstResult).toBe("start");
    });

    it("removes the claim of an attempt that is cancelled", async () => {
      const host = createHost();
      const attempt = begin(host);
      attempt.handle.cancel();
      expect(attempt.results).toMatchObject([{
        outcome: "not-run",
        reason: "cancelled",
      }]);
      await vi.waitFor(() => {
        expect(server.requests.join()).toContain("DELETE");
        expect(recordState()).toBeUndefined();
      }, 5_000);
      expect(attempt.results).toHaveLength(1);
    });
  });

  describe("when the response to a create is lost", () => {
    it.each([true, false])(
      "runs the call once (create applied: %s)",
      async (applied) => {
        server.faults.push({ type: "reset", applied });
        const attempt = begin(createHost());
        expect(await attempt.firstResult).toBe("start");
        expect(await begin(createHost()).firstResult).not.toBe("start");
      },
    );

    it("never runs an attempt whose create takes effect late", async () => {
      server.faults.push({ type: "delay" });
      server.outage = { type: "reset", applied: false };
      const host = createHost();
      const attempt = begin(host);
      expect(await attempt.firstResult).toMatchObject({
        outcome: "not-run",
        reason: "store_unavailable",
      });
      server.applyDelayed();
      expect(recordState()).toBe("started");
      server.outage = undefined;
      await vi.waitFor(() => expect(recordState()).toBeUndefined(), 20_000);
      expect(attempt.results).toHaveLength(1);
      expect(await begin(host).firstResult).toBe("start");
    });
  });

  describe("while the store is down", () => {
    it("retries the removal of a record until the store responds", async () => {
      server.faults.push({ type: "delay" });
      server.outage = { type: "reset", applied: false };
      const attempt = begin(createHost());
      await attempt.firstResult;
      vi.useFakeTimers({ toFake: ["setTimeout", "clearTimeout"] });
      const requestsWithRetries = server.requests.length + 6;
      for (
        let n = 0;
        n < 500 && server.requests.length < requestsWithRetries;
        n++
      ) {
        await sleep(20);
        vi.advanceTimersByTime(60_000);
      }
      expect(server.requests.length).toBeGreaterThanOrEqual(
        requestsWithRetries,
      );
      server.applyDelayed();
      server.outage = undefined;
      for (let n = 0; n < 200 && recordState() !== undefined; n++) {
        await sleep(50);
        vi.advanceTimersByTime(60_000);
      }
      expect(recordState()).toBeUndefined();
    });

    it("refuses an attempt at once and has no record to remove", async () => {
      await server.dispose();
      const host = createHost();
      expect(await begin(host).firstResult).toMatchObject({
        outcome: "not-run",
        reason: "store_unavailable",
        retryAfterMs: 5_000,
      });
      expect(host.pendingRemovals).toBe(0);
      server = await ObjectServer.start();
    });

    it("stores the answer when the store is available again", async () => {
      const attempt = begin(createHost());
      await attempt.firstResult;
      server.outage = { type: "answer", status: 503, body: "{}" };
      attempt.handle.finished(storedAnswer);
      await vi.waitFor(() => {
        const updates = server.requests.filter((line) => line.includes("PUT"));
        expect(updates.length).toBeGreaterThan(1);
      });
      server.outage = undefined;
      await vi.waitFor(() => expect(recordState()).toBe("finished"), 20_000);
    });
  });

  describe("with random faults over real connections", () => {
    const SEED = 20_265;

    it(`runs each key at most once (seed ${SEED})`, async () => {
      const random = xoroshiro128plus(SEED);
      const faults: (ServerFault | undefined)[] = [
        { type: "reset", applied: true },
        { type: "reset", applied: false },
        { type: "delay" },
        { type: "cut" },
        { type: "answer", status: 503, body: "{}" },
        { type: "answer", status: 429, body: "{}" },
        ...Array.from({ length: 6 }, () => undefined),
      ];
      const choose = <T>(items: readonly T[]) =>
        items[(random.next() >>> 0) % items.length];
      const fleet = [createHost(), createHost()];
      const runs = new Map<string, number>();
      for (let round = 0; round < 60; round++) {
        server.faults.push(
          ...Array.from({ length: 12 }, () => choose(faults)),
        );
        const key = `k${round % 20}`;
        const attempts = fleet.map((host) => begin(host, key));
        const firstResultPerAttempt = await Promise.all(
          attempts.map((a) => a.firstResult),
        );
        server.applyDelayed();
        const started = firstResultPerAttempt.filter((one) =>
          one === "start"
        ).length;
        runs.set(key, (runs.get(key) ?? 0) + started);
        attempts.forEach(({ results, handle }) => {
          expect(results).toHaveLength(1);
          handle.finished(storedAnswer);
        });
      }
      expect(Math.max(...runs.values())).toBe(1);
    });
  });
});

describe("ExecutionRecordSweeper", () => {
  const expiresAtMs = () => Date.now() - EXPIRY_MARGIN_MS;
  const record = (expiresAtMs: number) => ({
    state: "started",
    attemptId: "a",
    claimId: "c",
    fingerprint: "f",
    endpointId: "e",
    startedAtMs: expiresAtMs - RECORD_RETENTION_MS,
    expiresAtMs,
  });

  /**
   * Creates execution records and returns the keys of those that must not be
   * deleted.
   */
  async function createRecords(): Promise<string[]> {
    for (let n = 0; n < 25; n++) {
      await store.create(`calls/old${n}`, record(expiresAtMs() - 1));
      await store.create(`calls/new${n}`, record(expiresAtMs() + 60_000));
    }
    // A record in a state that this version does not know, and a record below
    // another prefix.
    await store.create("calls/other", { state: "new", expiresAtMs: 0 });
    await store.create("other/old", record(0));
    const kept = [...server.objects.keys()].filter((key) =>
      !key.startsWith("calls/old")
    );
    return kept.sort();
  }

  function startSweeper(
    callsPerS: number,
    pageRecords = 7,
  ): ExecutionRecordSweeper {
    return new ExecutionRecordSweeper({
      store,
      clock,
      callsPerS,
      pageRecords,
      pauseMs: 10,
    });
  }

  it("deletes all expired records and no others, also after failed calls", async () => {
    const kept = await createRecords();
    // The first call and the first two delete calls fail. Calls 2 to 5 are list
    // calls that succeed; the fifth lists the first page that has expired
    // records.
    const successfulLists = [undefined, undefined, undefined, undefined];
    server.faults.push(
      { type: "reset", applied: false },
      ...successfulLists,
      { type: "reset", applied: false },
      { type: "reset", applied: true },
    );
    const sweeper = startSweeper(2_000);
    sweeper.setElected(true);
    await vi.waitFor(
      () => expect([...server.objects.keys()].sort()).toEqual(kept),
      20_000,
    );
    const { pages } = sweeper.counters;
    await vi.waitFor(
      () => expect(sweeper.counters.pages).toBeGreaterThan(pages + 10),
      20_000,
    );
    sweeper.dispose();
    expect([...server.objects.keys()].sort()).toEqual(kept);
    expect(sweeper.counters.failed).toBeGreaterThan(0);
  });

  it("makes no further calls when it is no longer elected", async () => {
    await createRecords();
    const before = server.requests.length;
    const sweeper = startSweeper(2_000, 50);
    sweeper.setElected(false);
    sweeper.setElected(true);
    sweeper.setElected(false);
    await vi.waitFor(() => expect(sweeper.counters.pages).toBe(1));
    await sleep(100);
    sweeper.dispose();
    const calls = server.requests.slice(before);
    expect(calls.filter((line) => line.startsWith("DELETE"))).toEqual([]);
    expect(calls.filter((line) => line.includes("prefix"))).toHaveLength(1);
  });

  // A faster sweep would delay keyed calls, which need the same store.
  it("makes no more calls than its rate allows", async () => {
    await createRecords();
    const before = server.requests.length;
    clock.stop();
    const sweeper = startSweeper(1_000);
    sweeper.setElected(true);
    for (let call = 1; call <= 5; call++) {
      await vi.waitFor(() =>
        expect(server.requests.length).toBe(before + call)
      );
      // Real timers run during the sleep, but the manual clock of the rate
      // limiter is not advanced, so no further call is allowed.
      await sleep(20);
      expect(server.requests.length).toBe(before + call);
      clock.aheadMs++;
    }
    sweeper.dispose();
  });
});

describe("LocalExecutionRecordExpiry", () => {
  it("deletes local records only after they have expired", async () => {
    const expiry = new LocalExecutionRecordExpiry({
      store,
      clock,
      checkIntervalMs: 5,
    });
    const expiresAtMs = clock.wallMs() + RECORD_RETENTION_MS;
    const version = await store.create("calls/own", 1);
    expiry.add({ key: "calls/own", version, expiresAtMs });
    clock.aheadMs = RECORD_RETENTION_MS + EXPIRY_MARGIN_MS - 60_000;
    await sleep(50);
    expect(server.objects.size).toBe(1);
    clock.aheadMs += 60_000;
    await vi.waitFor(() => expect(server.objects.size).toBe(0), 20_000);
    expiry.dispose();
    expect(server.requests.filter((line) => line.startsWith("DELETE")))
      .toHaveLength(1);
  });
});
