import {
  StoreConflictError,
  StoreUnavailableError,
  StoreUnknownOutcomeError,
} from "@anvildeal/core";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import {
  RawServer,
  UNFRAMED_HEADS,
  writeAndReset,
} from "../net/raw_server_fixture.js";
import { HttpObjectStore, type StoreCall } from "./http_object_store.js";
import {
  ObjectServer,
  type ServerFault,
} from "./object_server_test_fixture.js";

const KEY = "calls/a key";

let server: ObjectServer;
let store: HttpObjectStore;
let calls: StoreCall[];

beforeEach(async () => {
  server = await ObjectServer.start();
  calls = [];
  store = new HttpObjectStore({
    url: server.url,
    requestTimeoutMs: 1_000,
    onCall: (call) => calls.push(call),
  });
});

afterEach(async () => {
  await store.dispose();
  await server.dispose();
});

const reads = {
  get: () => store.get(KEY),
  list: () => store.list("calls/", { limit: 10 }),
} as const;

const writes = {
  create: () => store.create("calls/new", 1),
  update: () => store.update(KEY, 2, 1),
  delete: () => store.delete(KEY, 1),
} as const;

const answer = (status: number, body: string): ServerFault => ({
  type: "answer",
  status,
  body,
});

describe("HttpObjectStore", () => {
  describe("while the store responds", () => {
    it("creates, reads, updates, lists and deletes objects", async () => {
      expect(await store.get(KEY)).toBeUndefined();
      expect(await store.create(KEY, { a: "ä" })).toBe(1);
      expect(await store.update(KEY, [2], 1)).toBe(2);
      await store.create("calls/b", 0);
      await store.create("other", 0);
      const object = { key: KEY, version: 2, value: [2] };
      expect(await store.get(KEY)).toEqual(object);
      expect(await store.list("calls/", { limit: 1 })).toEqual([object]);
      expect(await store.list("calls/", { limit: 9, after: KEY }))
        .toMatchObject([{ key: "calls/b" }]);
      await store.delete(KEY, 2);
      expect(await store.get(KEY)).toBeUndefined();
    });

    it("runs many calls at once without a warning of a listener leak", async () => {
      const warnings: Error[] = [];
      const onWarning = (warning: Error) => warnings.push(warning);
      process.on("warning", onWarning);
      await Promise.all(Array.from({ length: 30 }, () => store.get(KEY)));
      process.off("warning", onWarning);
      expect(warnings).toEqual([]);
    });

    it("reports the object that a write conflicts with", async () => {
      await store.create(KEY, "held");
      const current = { key: KEY, version: 1, value: "held" };
      for (
        const write of [
          store.create(KEY, 0),
          store.update(KEY, 0, 7),
          store.delete(KEY, 7),
        ]
      ) {
        const error = await write.catch((error: unknown) => error);
        expect(error).toBeInstanceOf(StoreConflictError);
        expect(error).toMatchObject({ current });
      }
    });

    it("reports an absent key as a conflict without an object", async () => {
      for (const write of [store.update("x", 0, 1), store.delete("x", 1)]) {
        const error = await write.catch((error: unknown) => error);
        expect(error).toBeInstanceOf(StoreConflictError);
        expect(error).toMatchObject({ current: undefined });
      }
    });
  });

  // A write that is wrongly reported as not applied can run a call twice.
  describe("when a write fails after it was sent", () => {
    const faults: Record<string, ServerFault> = {
      "reset before the effect": { type: "reset", applied: false },
      "reset after the effect": { type: "reset", applied: true },
      "no response": { type: "silent" },
      "half a response": { type: "cut" },
      "status 500": answer(500, "{}"),
      "status 503": answer(503, "{}"),
    };
    for (const [name, fault] of Object.entries(faults)) {
      for (const [kind, write] of Object.entries(writes)) {
        it(`reports an unknown outcome of ${kind} with ${name}`, async () => {
          await store.create(KEY, 1);
          server.faults.push(fault);
          await expect(write()).rejects.toThrow(StoreUnknownOutcomeError);
          expect(calls.at(-1)).toMatchObject({ kind, outcome: "unknown" });
        });
      }
    }

    it("reports an unknown outcome when the response has no readable version", async () => {
      server.faults.push(answer(200, "no JSON"));
      await expect(writes.create()).rejects.toThrow(StoreUnknownOutcomeError);
    });
  });

  describe("when a write is not applied", () => {
    const statuses = [400, 413, 429];
    it.each(statuses)(
      "reports the store as unavailable at status %i",
      async (status) => {
        await store.create(KEY, 1);
        for (const write of Object.values(writes)) {
          server.faults.push(answer(status, "{}"));
          await expect(write()).rejects.toThrow(StoreUnavailableError);
        }
      },
    );

    it("never reports an invalid conflict response as an absent key", async () => {
      server.faults.push(answer(412, '{"key":1}'));
      await expect(writes.create()).rejects.toThrow(StoreUnavailableError);
    });

    it("reports the store as unavailable if no connection can be opened", async () => {
      await server.dispose();
      for (const call of Object.values({ ...reads, ...writes })) {
        await expect(call()).rejects.toThrow(StoreUnavailableError);
      }
      expect(calls.every((call) => call.sentBytes === 0)).toBe(true);
      server = await ObjectServer.start();
    });

    it("reports the store as unavailable after dispose", async () => {
      await store.dispose();
      await expect(writes.create()).rejects.toThrow(StoreUnavailableError);
      expect(server.requests).toEqual([]);
    });
  });

  describe("when a read fails", () => {
    const faults: Record<string, ServerFault> = {
      "a reset": { type: "reset", applied: false },
      "no response": { type: "silent" },
      "half a response": { type: "cut" },
      "status 500": answer(500, "{}"),
      "no JSON": answer(200, "<html>"),
      "an object of another schema": answer(200, '{"version":0}'),
    };
    it.each(Object.entries(faults))(
      "reports the store as unavailable with %s",
      async (_name, fault) => {
        await store.create(KEY, 1);
        for (const read of Object.values(reads)) {
          server.faults.push(fault);
          await expect(read()).rejects.toThrow(StoreUnavailableError);
        }
      },
    );
  });

  describe("when established connections stall", () => {
    it("uses new connections after the first timeout", async () => {
      await Promise.all([reads.get(), reads.get(), reads.get()]);
      server.sockets.forEach((socket) => server.stalledSockets.add(socket));
      expect(server.stalledSockets.size).toBeGreaterThan(1);
      await expect(reads.get()).rejects.toThrow(StoreUnavailableError);
      expect(await reads.get()).toBeUndefined();
    });
  });

  describe("watch", () => {
    it("resolves when a newer version is written", async () => {
      await store.create(KEY, 1);
      const watch = store.watch(KEY, { afterVersion: 1, timeoutMs: 10_000 });
      await store.update(KEY, 2, 1);
      expect(await watch).toEqual({ key: KEY, version: 2, value: 2 });
    });

    it("resolves to undefined at its own timeout, which is added to the timeout of a call", async () => {
      const watch = store.watch(KEY, { afterVersion: 0, timeoutMs: 1_500 });
      expect(await watch).toBeUndefined();
    });

    it("rejects when its signal is aborted before or after it starts", async () => {
      const abort = new AbortController();
      const options = {
        afterVersion: 0,
        timeoutMs: 10_000,
        signal: abort.signal,
      };
      const watch = store.watch(KEY, options);
      const failed = expect(watch).rejects.toThrow(StoreUnavailableError);
      abort.abort();
      await failed;
      await expect(store.watch(KEY, options)).rejects.toThrow(
        StoreUnavailableError,
      );
    });

    it("rejects when the store client is disposed", async () => {
      const watch = store.watch(KEY, { afterVersion: 0, timeoutMs: 10_000 });
      const failed = expect(watch).rejects.toThrow(StoreUnavailableError);
      await store.dispose();
      await failed;
    });
  });

  describe("counters", () => {
    // Counters below the bytes of the sockets would hide control traffic.
    it("add up to the bytes that the sockets carried", async () => {
      await store.create(KEY, { text: "ä".repeat(5_000) });
      await store.get(KEY);
      await store.get("absent");
      await store.update(KEY, 2, 1);
      await store.update(KEY, 2, 1).catch(() => {});
      await store.list("", { limit: 5 });
      await store.watch(KEY, { afterVersion: 0, timeoutMs: 1 });
      await store.watch(KEY, { afterVersion: 9, timeoutMs: 1 });
      await store.delete(KEY, 2);
      const sumOfCalls = (count: (call: StoreCall) => number) =>
        calls.reduce((total, call) => total + count(call), 0);
      const sumOfSockets = (
        count: (socket: typeof server.sockets[0]) => number,
      ) => server.sockets.reduce((total, socket) => total + count(socket), 0);
      expect(sumOfCalls((call) => call.sentBytes))
        .toBe(sumOfSockets((socket) => socket.bytesRead));
      expect(sumOfCalls((call) => call.receivedBytes))
        .toBe(sumOfSockets((socket) => socket.bytesWritten));
      expect(calls.map((call) => call.kind).join(" ")).toBe(
        "create get get update update list watch watch delete",
      );
    });
  });
});

// Guards against a conflict or an absent object that nobody reported: the client
// took a reset for the end of an answer without a length.
describe("a store that resets an answer without a length", () => {
  const RESET_DELAY_MS = 5;
  let resetting: RawServer;
  let client: HttpObjectStore;

  beforeEach(async () => {
    resetting = new RawServer(() => {});
    await resetting.listen();
    client = new HttpObjectStore({
      url: resetting.url,
      requestTimeoutMs: 1_000,
    });
  });
  afterEach(async () => {
    await client.dispose();
    resetting.close();
  });

  describe.each(UNFRAMED_HEADS)("after the head %j", (ok) => {
    function resetAfter(status: number, body: string): void {
      const head = ok.replace("200", String(status));
      resetting.answer = (socket) =>
        writeAndReset(socket, { head, body, delayMs: RESET_DELAY_MS });
    }

    it("is unavailable to reads", async () => {
      resetAfter(404, "");
      await expect(client.get(KEY)).rejects.toThrow(StoreUnavailableError);
      resetAfter(200, '{"items":[');
      await expect(client.list("", { limit: 1 })).rejects
        .toThrow(StoreUnavailableError);
    });

    it("leaves the outcome of writes unknown", async () => {
      resetAfter(412, "");
      await expect(client.update(KEY, 1, 1)).rejects
        .toThrow(StoreUnknownOutcomeError);
    });
  });
});
