import * as fc from "fast-check";
import { describe, expect, it } from "vitest";
import { EventStreamCut } from "./event_stream_cut.js";

describe("EventStreamCut", () => {
  it("passes whole events on, however the bytes are cut", () => {
    const text = Array.from(
      { length: 8 },
      (_, i) => `id: ${i}\ndata: ${"x".repeat(i)}\n\n`,
    ).join("");
    fc.assert(
      fc.property(
        fc.array(fc.integer({ min: 1, max: 30 }), { maxLength: 60 }),
        (sizes) => {
          const cut = new EventStreamCut(undefined);
          let passed = "";
          let offset = 0;
          for (const size of sizes) {
            const chunk = Buffer.from(text.slice(offset, offset + size));
            offset += size;
            passed += cut.push(chunk).toString();
            expect(passed === "" || passed.endsWith("\n\n")).toBe(true);
            const ids = [...passed.matchAll(/^id: (\d)$/gm)];
            expect(cut.lastEventId).toBe(ids.at(-1)?.[1]);
          }
          passed += cut.push(Buffer.from(text.slice(offset))).toString();
          expect(passed).toBe(text);
        },
      ),
      { seed: 1, numRuns: 300 },
    );
  });

  it("drops the part of an event that a broken endpoint left", () => {
    const cut = new EventStreamCut(undefined);
    cut.push(Buffer.from("id: 1\ndata: a\n\nid: 2\nda"));
    cut.dropPartial();
    const next = cut.push(Buffer.from("id: 2\ndata: b\n\n"));
    expect(next.toString()).toBe("id: 2\ndata: b\n\n");
  });

  it("begins where the caller asked to continue", () => {
    expect(new EventStreamCut("7").lastEventId).toBe("7");
  });
});
