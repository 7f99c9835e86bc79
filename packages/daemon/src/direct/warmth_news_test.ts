import type { MessageOf, PromptCacheEntry } from "@anvildeal/core";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { ManualClock } from "../manual_clock_fixture.js";
import { WarmthNews } from "./warmth_news.js";

function entry(endpointId: string): PromptCacheEntry {
  return { endpointId, incarnation: 1, parts: [{ id: "p", tokens: 100 }] };
}

// A router that had been cut off placed prompts without knowing where their
// start had been read meanwhile, so endpoints read it again.
describe("WarmthNews", () => {
  let clock: ManualClock;
  let news: WarmthNews;
  let sent: { readonly to: string; readonly endpoints: string[] }[];

  beforeEach(() => {
    vi.useFakeTimers();
    clock = new ManualClock();
    sent = [];
    const note = (to: string, message: MessageOf<"fleet_warmth">) =>
      sent.push({
        to,
        endpoints: message.entries.map(({ endpointId }) => endpointId),
      });
    news = new WarmthNews({
      clock,
      broadcast: (message) => note("all", message as MessageOf<"fleet_warmth">),
      sendTo: (nodeId, message) =>
        note(nodeId, message as MessageOf<"fleet_warmth">),
    });
  });

  afterEach(() => {
    news.dispose();
    vi.useRealTimers();
  });

  function tellAt(timeMs: number, endpointId: string): void {
    clock.timeMs = timeMs;
    news.tell(entry(endpointId));
    vi.advanceTimersByTime(10);
  }

  it("tells news that come together in one message", () => {
    news.tell(entry("a"));
    news.tell(entry("b"));
    vi.advanceTimersByTime(10);
    expect(sent).toEqual([{ to: "all", endpoints: ["a", "b"] }]);
  });

  it("repeats to a router that came back what it may have missed", () => {
    tellAt(1000, "before");
    tellAt(8000, "on the silent path");
    clock.timeMs = 10_000;
    news.noteLost("router");
    tellAt(12_000, "meanwhile");
    sent = [];
    news.noteRegained("router");
    news.noteRegained("router");
    expect(sent).toEqual([
      { to: "router", endpoints: ["on the silent path", "meanwhile"] },
    ]);
  });

  it("repeats nothing to a router that was never lost or is away too long", () => {
    tellAt(1000, "a");
    news.noteRegained("new");
    news.noteLost("router");
    tellAt(60_000, "b");
    sent = [];
    news.noteRegained("router");
    expect(sent).toEqual([]);
  });
});
