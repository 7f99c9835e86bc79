import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { SharedDocument } from "./shared_document.js";
import { PromptCachePersistence } from "./prompt_cache_persistence.js";

const STORED = {
  entries: [{ endpoint: "e", incarnation: 1, parts: [["p", 100]] }],
};

/** A document whose calls fail while `available` is false. */
class FlakyDocument extends SharedDocument {
  available = true;
  reads = 0;
  written: unknown;

  read(): Promise<unknown> {
    this.reads++;
    return this.available
      ? Promise.resolve(STORED)
      : Promise.reject(new Error("the directory is unavailable"));
  }

  write(value: unknown): Promise<void> {
    if (!this.available) {
      return Promise.reject(new Error("the directory is unavailable"));
    }
    this.written = value;
    return Promise.resolve();
  }
}

describe("PromptCachePersistence", () => {
  let document: FlakyDocument;
  let persistence: PromptCachePersistence;
  let readEndpoints: string[];
  let isWriter: boolean;

  beforeEach(() => {
    vi.useFakeTimers();
    document = new FlakyDocument();
    readEndpoints = [];
    isWriter = true;
    persistence = new PromptCachePersistence({
      document,
      logger: { log: () => {} },
      entries: () => [{
        endpointId: "e",
        incarnation: 1,
        parts: [{ id: "p", tokens: 100 }],
      }],
      onRead: (entries) =>
        readEndpoints.push(...entries.map(({ endpointId }) => endpointId)),
      isWriter: () => isWriter,
    });
  });

  afterEach(() => {
    persistence.dispose();
    vi.useRealTimers();
  });

  // Guards against a router that has just started, knows little and replaces what
  // all routers before it have stored.
  it("writes nothing before it has read the stored document", async () => {
    document.available = false;
    persistence.start();
    await vi.advanceTimersByTimeAsync(0);
    document.available = true;
    persistence.markChanged();
    persistence.writeIfDue();
    expect(document.written).toBeUndefined();
    persistence.handleDirectoryAnswer();
    await vi.advanceTimersByTimeAsync(0);
    persistence.writeIfDue();
    expect(document.written).toEqual(STORED);
  });

  it("reads the stored document at the start", async () => {
    persistence.start();
    await vi.advanceTimersByTimeAsync(0);
    expect(readEndpoints).toEqual(["e"]);
    expect(document.reads).toBe(1);
  });

  // A router that starts while the directory is unavailable would otherwise wait up
  // to 3 s for its next retry, and meanwhile place all prompts as if no endpoint
  // had cached anything.
  it("reads immediately when the directory answers after an outage", async () => {
    document.available = false;
    persistence.start();
    await vi.advanceTimersByTimeAsync(2200);
    document.available = true;
    persistence.handleDirectoryAnswer();
    await vi.advanceTimersByTimeAsync(0);
    expect(readEndpoints).toEqual(["e"]);
  });

  it("reads after an outage that outlasted its retries", async () => {
    document.available = false;
    persistence.start();
    await vi.advanceTimersByTimeAsync(60_000);
    document.available = true;
    persistence.handleDirectoryAnswer();
    await vi.advanceTimersByTimeAsync(0);
    expect(readEndpoints).toEqual(["e"]);
  });

  it("does not read again after a successful read", async () => {
    persistence.start();
    await vi.advanceTimersByTimeAsync(0);
    persistence.handleDirectoryAnswer();
    await vi.advanceTimersByTimeAsync(0);
    expect(document.reads).toBe(1);
  });

  it("writes changes only while it is the writer, at most once a second", async () => {
    persistence.start();
    await vi.advanceTimersByTimeAsync(0);
    persistence.markChanged();
    persistence.writeIfDue();
    await vi.advanceTimersByTimeAsync(0);
    expect(document.written).toEqual(STORED);
    document.written = undefined;
    persistence.markChanged();
    persistence.writeIfDue();
    expect(document.written).toBeUndefined();
    await vi.advanceTimersByTimeAsync(1000);
    isWriter = false;
    persistence.writeIfDue();
    expect(document.written).toBeUndefined();
    isWriter = true;
    persistence.writeIfDue();
    await vi.advanceTimersByTimeAsync(0);
    expect(document.written).toEqual(STORED);
  });
});
