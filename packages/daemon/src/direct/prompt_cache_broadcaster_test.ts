import type { MessageOf, PromptCacheEntry } from "@anvildeal/core";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { ManualClock } from "../manual_clock_fixture.js";
import { PromptCacheBroadcaster } from "./prompt_cache_broadcaster.js";

function entry(endpointId: string): PromptCacheEntry {
  return { endpointId, incarnation: 1, parts: [{ id: "p", tokens: 100 }] };
}

// A router that was disconnected does not know which endpoints cached the start of
// a prompt meanwhile. Unless it gets the missed updates, it sends prompts to other
// endpoints, which process the start again.
describe("PromptCacheBroadcaster", () => {
  let clock: ManualClock;
  let broadcaster: PromptCacheBroadcaster;
  let sent: { readonly to: string; readonly endpoints: string[] }[];

  beforeEach(() => {
    vi.useFakeTimers();
    clock = new ManualClock();
    sent = [];
    const record = (to: string, message: MessageOf<"fleet_warmth">) =>
      sent.push({
        to,
        endpoints: message.entries.map(({ endpointId }) => endpointId),
      });
    broadcaster = new PromptCacheBroadcaster({
      clock,
      broadcast: (message) =>
        record("all", message as MessageOf<"fleet_warmth">),
      sendTo: (nodeId, message) =>
        record(nodeId, message as MessageOf<"fleet_warmth">),
    });
  });

  afterEach(() => {
    broadcaster.dispose();
    vi.useRealTimers();
  });

  function enqueueAt(timeMs: number, endpointId: string): void {
    clock.timeMs = timeMs;
    broadcaster.enqueue(entry(endpointId));
    vi.advanceTimersByTime(10);
  }

  it("sends updates that follow each other quickly in one message", () => {
    broadcaster.enqueue(entry("a"));
    broadcaster.enqueue(entry("b"));
    vi.advanceTimersByTime(10);
    expect(sent).toEqual([{ to: "all", endpoints: ["a", "b"] }]);
  });

  it("repeats the updates that a router may have missed when it reconnects", () => {
    enqueueAt(1000, "before");
    enqueueAt(8000, "on the silent path");
    clock.timeMs = 10_000;
    broadcaster.handleDisconnect("router");
    enqueueAt(12_000, "meanwhile");
    sent = [];
    broadcaster.handleReconnect("router");
    broadcaster.handleReconnect("router");
    expect(sent).toEqual([
      { to: "router", endpoints: ["on the silent path", "meanwhile"] },
    ]);
  });

  it("repeats nothing to a new router or after too long a disconnection", () => {
    enqueueAt(1000, "a");
    broadcaster.handleReconnect("new");
    broadcaster.handleDisconnect("router");
    enqueueAt(60_000, "b");
    sent = [];
    broadcaster.handleReconnect("router");
    expect(sent).toEqual([]);
  });
});
