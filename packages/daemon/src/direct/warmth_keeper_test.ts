import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { SharedDocument } from "./shared_document.js";
import { WarmthKeeper } from "./warmth_keeper.js";

const STORED = {
  entries: [{ endpoint: "e", incarnation: 1, parts: [["p", 100]] }],
};

class FlakyDocument extends SharedDocument {
  up = true;
  reads = 0;
  written: unknown;

  read(): Promise<unknown> {
    this.reads++;
    return this.up
      ? Promise.resolve(STORED)
      : Promise.reject(new Error("the store is away"));
  }

  write(value: unknown): Promise<void> {
    if (!this.up) {
      return Promise.reject(new Error("the store is away"));
    }
    this.written = value;
    return Promise.resolve();
  }
}

describe("WarmthKeeper", () => {
  let document: FlakyDocument;
  let keeper: WarmthKeeper;
  let known: string[];
  let isWriter: boolean;

  beforeEach(() => {
    vi.useFakeTimers();
    document = new FlakyDocument();
    known = [];
    isWriter = true;
    keeper = new WarmthKeeper({
      document,
      logger: { log: () => {} },
      entries: () => [{
        endpointId: "e",
        incarnation: 1,
        parts: [{ id: "p", tokens: 100 }],
      }],
      onRead: (entries) =>
        known.push(...entries.map(({ endpointId }) => endpointId)),
      isWriter: () => isWriter,
    });
  });

  afterEach(() => {
    keeper.dispose();
    vi.useRealTimers();
  });

  it("reads what was written at the start", async () => {
    keeper.start();
    await vi.advanceTimersByTimeAsync(0);
    expect(known).toEqual(["e"]);
    expect(document.reads).toBe(1);
  });

  // Routers that started while the store was away waited for the next try, up
  // to 3 s, in which all prompts were placed as if nothing was cached.
  it("reads at once when the store answers after an outage", async () => {
    document.up = false;
    keeper.start();
    await vi.advanceTimersByTimeAsync(2200);
    document.up = true;
    keeper.noteStoreAnswer();
    await vi.advanceTimersByTimeAsync(0);
    expect(known).toEqual(["e"]);
  });

  it("reads after an outage that lasted longer than its own tries", async () => {
    document.up = false;
    keeper.start();
    await vi.advanceTimersByTimeAsync(60_000);
    document.up = true;
    keeper.noteStoreAnswer();
    await vi.advanceTimersByTimeAsync(0);
    expect(known).toEqual(["e"]);
  });

  it("reads no more once it has read", async () => {
    keeper.start();
    await vi.advanceTimersByTimeAsync(0);
    keeper.noteStoreAnswer();
    await vi.advanceTimersByTimeAsync(0);
    expect(document.reads).toBe(1);
  });

  it("writes changes when it is the writer, at most once a second", async () => {
    keeper.noteChange();
    keeper.maintain();
    await vi.advanceTimersByTimeAsync(0);
    expect(document.written).toEqual(STORED);
    document.written = undefined;
    keeper.noteChange();
    keeper.maintain();
    expect(document.written).toBeUndefined();
    await vi.advanceTimersByTimeAsync(1000);
    isWriter = false;
    keeper.maintain();
    expect(document.written).toBeUndefined();
    isWriter = true;
    keeper.maintain();
    await vi.advanceTimersByTimeAsync(0);
    expect(document.written).toEqual(STORED);
  });
});
